package peerencoder

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxSkipDepth bounds the nesting of fields that this version does not know.
// The library's own Skip recurses without a bound, so that a message of the
// maximum size could overflow the stack.
const maxSkipDepth = 16

func skip(from *source, depth int) error {
	if depth > maxSkipDepth {
		return fmt.Errorf("unknown field is nested deeper than %d", maxSkipDepth)
	}
	code, err := from.PeekCode()
	if err != nil {
		return err
	}
	elements := 0
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		elements, err = from.length(from.DecodeArrayLen())
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		elements, err = from.length(from.DecodeMapLen())
		elements *= 2
	case msgpcode.IsString(code):
		// Strings of unknown fields count for the positions of later ones.
		_, err = from.decodeString()
		return err
	default:
		return from.Skip()
	}
	if err != nil {
		return err
	}
	for range elements {
		if err := skip(from, depth+1); err != nil {
			return err
		}
	}
	return nil
}
