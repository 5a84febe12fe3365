package peerencoder

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// The functions below traverse messages by reflection and use the msgpack
// library only for single values. The library's own decoder rejects an
// array-encoded struct whose number of fields differs, and trusts the sender's
// element counts for allocations of up to a million elements.

// minInternLength is the minimum length in bytes of strings that are sent only
// once per message. Facts repeat the IDs of processes and targets.
const minInternLength = 3

// encodeState encodes one message and keeps the indexes of the strings written.
type encodeState struct {
	*msgpack.Encoder
	indexes map[string]uint64
}

// encodeString writes a string, or its index if the message contains it
// already.
func (e *encodeState) encodeString(text string) error {
	if len(text) < minInternLength {
		return e.EncodeString(text)
	}
	if index, written := e.indexes[text]; written {
		return e.EncodeUint(index)
	}
	e.indexes[text] = uint64(len(e.indexes))
	return e.EncodeString(text)
}

func encodeValue(state *encodeState, value reflect.Value) error {
	switch value.Kind() {
	case reflect.String:
		return state.encodeString(value.String())
	case reflect.Bool:
		return state.EncodeBool(value.Bool())
	case reflect.Int, reflect.Int64:
		return state.EncodeInt(value.Int())
	case reflect.Uint32, reflect.Uint64:
		return state.EncodeUint(value.Uint())
	case reflect.Float64:
		return state.EncodeFloat64(value.Float())
	case reflect.Pointer:
		if value.IsNil() {
			return state.EncodeNil()
		}
		return encodeValue(state, value.Elem())
	case reflect.Struct:
		return encodeStruct(state, value)
	case reflect.Slice, reflect.Array:
		return encodeList(state, value)
	case reflect.Map:
		return encodeMap(state, value)
	default:
		return fmt.Errorf("unsupported type %s", value.Type())
	}
}

// encodeStruct omits trailing zero fields. The decoder sets missing fields to
// zero.
func encodeStruct(state *encodeState, value reflect.Value) error {
	count := value.NumField()
	for count > 0 && value.Field(count-1).IsZero() {
		count--
	}
	if err := state.EncodeArrayLen(count); err != nil {
		return err
	}
	for i := range count {
		if err := encodeValue(state, value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func encodeList(state *encodeState, value reflect.Value) error {
	if value.Kind() == reflect.Slice && value.IsNil() {
		return state.EncodeNil()
	}
	if value.Type().Elem().Kind() == reflect.Uint8 {
		data := make([]byte, value.Len())
		reflect.Copy(reflect.ValueOf(data), value)
		return state.EncodeBytes(data)
	}
	if err := state.EncodeArrayLen(value.Len()); err != nil {
		return err
	}
	for i := range value.Len() {
		if err := encodeValue(state, value.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// encodeMap writes the entries sorted by key, so that equal messages have equal
// encodings.
func encodeMap(state *encodeState, value reflect.Value) error {
	if value.IsNil() {
		return state.EncodeNil()
	}
	if value.Type().Key().Kind() != reflect.String {
		return fmt.Errorf("unsupported type %s", value.Type())
	}
	if err := state.EncodeMapLen(value.Len()); err != nil {
		return err
	}
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return bytes.Compare([]byte(a.String()), []byte(b.String())) })
	for _, key := range keys {
		if err := encodeValue(state, key); err != nil {
			return err
		}
		if err := encodeValue(state, value.MapIndex(key)); err != nil {
			return err
		}
	}
	return nil
}

// decodeState decodes one message and keeps the strings read. The number of
// unread bytes limits every allocation, since each element takes at least one
// byte.
type decodeState struct {
	*msgpack.Decoder
	reader  *bytes.Reader
	strings []string
}

// decodeString reads a string or the index of an earlier one.
func (d *decodeState) decodeString() (string, error) {
	code, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if code >= msgpcode.Uint8 && code <= msgpcode.Uint64 || code <= msgpcode.PosFixedNumHigh {
		index, err := d.DecodeUint64()
		if err == nil && index >= uint64(len(d.strings)) {
			err = fmt.Errorf("string index %d is out of range, message has %d strings so far", index, len(d.strings))
		}
		if err != nil {
			return "", err
		}
		return d.strings[index], nil
	}
	text, err := d.DecodeString()
	if len(text) >= minInternLength {
		d.strings = append(d.strings, text)
	}
	return text, err
}

func decodeValue(state *decodeState, value reflect.Value) error {
	switch value.Kind() {
	case reflect.String:
		text, err := state.decodeString()
		value.SetString(text)
		return err
	case reflect.Bool:
		flag, err := state.DecodeBool()
		value.SetBool(flag)
		return err
	case reflect.Int, reflect.Int64:
		number, err := state.DecodeInt64()
		value.SetInt(number)
		return err
	case reflect.Uint32, reflect.Uint64:
		return decodeUint(state, value)
	case reflect.Float64:
		number, err := state.DecodeFloat64()
		value.SetFloat(number)
		return err
	case reflect.Pointer:
		return decodePointer(state, value)
	case reflect.Struct:
		return decodeStruct(state, value)
	case reflect.Slice, reflect.Array:
		return decodeList(state, value)
	case reflect.Map:
		return decodeMap(state, value)
	default:
		return fmt.Errorf("unsupported type %s", value.Type())
	}
}

func decodeUint(state *decodeState, value reflect.Value) error {
	number, err := state.DecodeUint64()
	if err != nil {
		return err
	}
	if value.OverflowUint(number) {
		return fmt.Errorf("number %d overflows %s", number, value.Type())
	}
	value.SetUint(number)
	return nil
}

func decodePointer(state *decodeState, value reflect.Value) error {
	code, err := state.PeekCode()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		return state.DecodeNil()
	}
	value.Set(reflect.New(value.Type().Elem()))
	return decodeValue(state, value.Elem())
}

func decodeStruct(state *decodeState, value reflect.Value) error {
	count, err := state.checkLength(state.DecodeArrayLen())
	if err != nil {
		return err
	}
	for i := range min(count, value.NumField()) {
		if err := decodeValue(state, value.Field(i)); err != nil {
			return fmt.Errorf("%s: %w", value.Type().Field(i).Name, err)
		}
	}
	for range count - value.NumField() {
		if err := skip(state, 1); err != nil {
			return err
		}
	}
	return nil
}

func decodeList(state *decodeState, value reflect.Value) error {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		return decodeBytes(state, value)
	}
	count, err := state.DecodeArrayLen()
	if err == nil && count < 0 {
		return nil
	}
	if count, err = state.checkLength(count, err); err != nil {
		return err
	}
	element := reflect.New(value.Type().Elem()).Elem()
	value.Set(reflect.MakeSlice(value.Type(), 0, min(count, maxPreallocated)))
	for range count {
		element.SetZero()
		if err := decodeValue(state, element); err != nil {
			return err
		}
		value.Set(reflect.Append(value, element))
	}
	return nil
}

func decodeBytes(state *decodeState, value reflect.Value) error {
	data, err := state.DecodeBytes()
	if err != nil {
		return err
	}
	if value.Kind() == reflect.Slice {
		value.SetBytes(data)
		return nil
	}
	if len(data) != value.Len() {
		return fmt.Errorf("%d bytes for %s, which needs %d", len(data), value.Type(), value.Len())
	}
	reflect.Copy(value, reflect.ValueOf(data))
	return nil
}

func decodeMap(state *decodeState, value reflect.Value) error {
	count, err := state.DecodeMapLen()
	if err == nil && count < 0 {
		return nil
	}
	if count, err = state.checkLength(count, err); err != nil {
		return err
	}
	value.Set(reflect.MakeMap(value.Type()))
	for range count {
		key := reflect.New(value.Type().Key()).Elem()
		entry := reflect.New(value.Type().Elem()).Elem()
		if err := decodeValue(state, key); err != nil {
			return err
		}
		if err := decodeValue(state, entry); err != nil {
			return err
		}
		value.SetMapIndex(key, entry)
	}
	return nil
}

// maxPreallocated limits the elements allocated before any is read.
const maxPreallocated = 64

// checkLength checks an element count against the number of unread bytes.
func (d *decodeState) checkLength(count int, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	if count < 0 || count > d.reader.Len() {
		return 0, fmt.Errorf("%d elements in the remaining %d bytes", count, d.reader.Len())
	}
	return count, nil
}
