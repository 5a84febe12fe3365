package peerencoder

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxSkipDepth limits the nesting of unknown fields. The Skip method of the
// msgpack library recurses without a limit, so that a message of the maximum
// size could overflow the stack.
const maxSkipDepth = 16

// skip discards a value of an unknown field.
func skip(state *decodeState, depth int) error {
	if depth > maxSkipDepth {
		return fmt.Errorf("unknown field exceeds the nesting limit of %d", maxSkipDepth)
	}
	code, err := state.PeekCode()
	if err != nil {
		return err
	}
	elements := 0
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		elements, err = state.checkLength(state.DecodeArrayLen())
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		elements, err = state.checkLength(state.DecodeMapLen())
		elements *= 2
	case msgpcode.IsString(code):
		// Strings in unknown fields count for the indexes of later
		// strings.
		_, err = state.decodeString()
		return err
	default:
		return state.Skip()
	}
	if err != nil {
		return err
	}
	for range elements {
		if err := skip(state, depth+1); err != nil {
			return err
		}
	}
	return nil
}
