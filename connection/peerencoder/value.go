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

// internFrom is the minimum length in bytes of strings that are sent only once
// per message. Facts repeat the IDs of processes and targets.
const internFrom = 3

// target encodes one message and keeps the indexes of the strings written.
type target struct {
	*msgpack.Encoder
	strings map[string]uint64
}

// encodeString writes a string, or its index if the message contains it already.
func (t *target) encodeString(text string) error {
	if len(text) < internFrom {
		return t.EncodeString(text)
	}
	if position, sent := t.strings[text]; sent {
		return t.EncodeUint(position)
	}
	t.strings[text] = uint64(len(t.strings))
	return t.EncodeString(text)
}

func encodeValue(to *target, value reflect.Value) error {
	switch value.Kind() {
	case reflect.String:
		return to.encodeString(value.String())
	case reflect.Bool:
		return to.EncodeBool(value.Bool())
	case reflect.Int, reflect.Int64:
		return to.EncodeInt(value.Int())
	case reflect.Uint32, reflect.Uint64:
		return to.EncodeUint(value.Uint())
	case reflect.Float64:
		return to.EncodeFloat64(value.Float())
	case reflect.Pointer:
		if value.IsNil() {
			return to.EncodeNil()
		}
		return encodeValue(to, value.Elem())
	case reflect.Struct:
		return encodeStruct(to, value)
	case reflect.Slice, reflect.Array:
		return encodeList(to, value)
	case reflect.Map:
		return encodeMap(to, value)
	default:
		return fmt.Errorf("unsupported type %s", value.Type())
	}
}

// encodeStruct omits trailing zero fields. The decoder sets missing fields to
// zero.
func encodeStruct(to *target, value reflect.Value) error {
	count := value.NumField()
	for count > 0 && value.Field(count-1).IsZero() {
		count--
	}
	if err := to.EncodeArrayLen(count); err != nil {
		return err
	}
	for i := range count {
		if err := encodeValue(to, value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func encodeList(to *target, value reflect.Value) error {
	if value.Kind() == reflect.Slice && value.IsNil() {
		return to.EncodeNil()
	}
	if value.Type().Elem().Kind() == reflect.Uint8 {
		data := make([]byte, value.Len())
		reflect.Copy(reflect.ValueOf(data), value)
		return to.EncodeBytes(data)
	}
	if err := to.EncodeArrayLen(value.Len()); err != nil {
		return err
	}
	for i := range value.Len() {
		if err := encodeValue(to, value.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// encodeMap writes the entries sorted by key, so that equal messages have equal
// encodings.
func encodeMap(to *target, value reflect.Value) error {
	if value.IsNil() {
		return to.EncodeNil()
	}
	if value.Type().Key().Kind() != reflect.String {
		return fmt.Errorf("unsupported type %s", value.Type())
	}
	if err := to.EncodeMapLen(value.Len()); err != nil {
		return err
	}
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return bytes.Compare([]byte(a.String()), []byte(b.String())) })
	for _, key := range keys {
		if err := encodeValue(to, key); err != nil {
			return err
		}
		if err := encodeValue(to, value.MapIndex(key)); err != nil {
			return err
		}
	}
	return nil
}

// source decodes one message and keeps the strings read. The number of unread
// bytes limits every allocation, since each element takes at least one byte.
type source struct {
	*msgpack.Decoder
	reader  *bytes.Reader
	strings []string
}

// decodeString reads a string or the index of an earlier one.
func (s *source) decodeString() (string, error) {
	code, err := s.PeekCode()
	if err != nil {
		return "", err
	}
	if code >= msgpcode.Uint8 && code <= msgpcode.Uint64 || code <= msgpcode.PosFixedNumHigh {
		position, err := s.DecodeUint64()
		if err == nil && position >= uint64(len(s.strings)) {
			err = fmt.Errorf("string index %d is out of range, message has %d strings so far", position, len(s.strings))
		}
		if err != nil {
			return "", err
		}
		return s.strings[position], nil
	}
	text, err := s.DecodeString()
	if len(text) >= internFrom {
		s.strings = append(s.strings, text)
	}
	return text, err
}

func decodeValue(from *source, value reflect.Value) error {
	switch value.Kind() {
	case reflect.String:
		text, err := from.decodeString()
		value.SetString(text)
		return err
	case reflect.Bool:
		truth, err := from.DecodeBool()
		value.SetBool(truth)
		return err
	case reflect.Int, reflect.Int64:
		number, err := from.DecodeInt64()
		value.SetInt(number)
		return err
	case reflect.Uint32, reflect.Uint64:
		return decodeUint(from, value)
	case reflect.Float64:
		number, err := from.DecodeFloat64()
		value.SetFloat(number)
		return err
	case reflect.Pointer:
		return decodePointer(from, value)
	case reflect.Struct:
		return decodeStruct(from, value)
	case reflect.Slice, reflect.Array:
		return decodeList(from, value)
	case reflect.Map:
		return decodeMap(from, value)
	default:
		return fmt.Errorf("unsupported type %s", value.Type())
	}
}

func decodeUint(from *source, value reflect.Value) error {
	number, err := from.DecodeUint64()
	if err != nil {
		return err
	}
	if value.OverflowUint(number) {
		return fmt.Errorf("number %d overflows %s", number, value.Type())
	}
	value.SetUint(number)
	return nil
}

func decodePointer(from *source, value reflect.Value) error {
	code, err := from.PeekCode()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		return from.DecodeNil()
	}
	value.Set(reflect.New(value.Type().Elem()))
	return decodeValue(from, value.Elem())
}

func decodeStruct(from *source, value reflect.Value) error {
	count, err := from.length(from.DecodeArrayLen())
	if err != nil {
		return err
	}
	for i := range min(count, value.NumField()) {
		if err := decodeValue(from, value.Field(i)); err != nil {
			return fmt.Errorf("%s: %w", value.Type().Field(i).Name, err)
		}
	}
	for range count - value.NumField() {
		if err := skip(from, 1); err != nil {
			return err
		}
	}
	return nil
}

func decodeList(from *source, value reflect.Value) error {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		return decodeBytes(from, value)
	}
	count, err := from.DecodeArrayLen()
	if err == nil && count < 0 {
		return nil
	}
	if count, err = from.length(count, err); err != nil {
		return err
	}
	element := reflect.New(value.Type().Elem()).Elem()
	value.Set(reflect.MakeSlice(value.Type(), 0, min(count, maxPreallocated)))
	for range count {
		element.SetZero()
		if err := decodeValue(from, element); err != nil {
			return err
		}
		value.Set(reflect.Append(value, element))
	}
	return nil
}

func decodeBytes(from *source, value reflect.Value) error {
	data, err := from.DecodeBytes()
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

func decodeMap(from *source, value reflect.Value) error {
	count, err := from.DecodeMapLen()
	if err == nil && count < 0 {
		return nil
	}
	if count, err = from.length(count, err); err != nil {
		return err
	}
	value.Set(reflect.MakeMap(value.Type()))
	for range count {
		key := reflect.New(value.Type().Key()).Elem()
		entry := reflect.New(value.Type().Elem()).Elem()
		if err := decodeValue(from, key); err != nil {
			return err
		}
		if err := decodeValue(from, entry); err != nil {
			return err
		}
		value.SetMapIndex(key, entry)
	}
	return nil
}

// maxPreallocated limits the elements allocated before any is read.
const maxPreallocated = 64

// length checks an element count against the number of unread bytes.
func (s *source) length(count int, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	if count < 0 || count > s.reader.Len() {
		return 0, fmt.Errorf("%d elements in the remaining %d bytes", count, s.reader.Len())
	}
	return count, nil
}
