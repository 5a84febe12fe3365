// Package peerencoder turns messages between entry processes into bytes and
// back. It uses msgpack with structs as arrays, so the data needs no tags and
// fields are only ever appended: a decoder skips the fields it does not know
// and leaves those that a sender of an earlier version lacks at zero. A string
// that occurs again is sent as its position among the strings before.
package peerencoder

import (
	"bytes"
	"fmt"
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

// MaxSize bounds an encoded message in bytes. The largest is a reply with an
// environment document, which the object API limits to one megabyte.
const MaxSize = 2 << 20

// types are the messages by their number on the wire, which is their
// position. New messages are appended.
var types = []reflect.Type{
	reflect.TypeFor[mulberrybeam.Exchange](),
	reflect.TypeFor[mulberrybeam.ExchangeReply](),
	reflect.TypeFor[mulberrybeam.FetchEnvironment](),
	reflect.TypeFor[mulberrybeam.FetchEnvironmentReply](),
	reflect.TypeFor[mulberrybeam.Fence](),
	reflect.TypeFor[mulberrybeam.FenceReply](),
	reflect.TypeFor[mulberrybeam.Extend](),
	reflect.TypeFor[mulberrybeam.ExtendReply](),
	reflect.TypeFor[mulberrybeam.AskPermit](),
	reflect.TypeFor[mulberrybeam.AskPermitReply](),
	reflect.TypeFor[mulberrybeam.ReleasePermit](),
	reflect.TypeFor[mulberrybeam.ReleasePermitReply](),
}

var numbers = func() map[reflect.Type]byte {
	byType := map[reflect.Type]byte{}
	for number, messageType := range types {
		byType[messageType] = byte(number)
	}
	return byType
}()

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Encode returns a message as bytes: its number and its fields.
func Encode(message mulberrybeam.Message) ([]byte, error) {
	number, known := numbers[reflect.TypeOf(message)]
	if !known {
		return nil, fmt.Errorf("message type %T has no number", message)
	}
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	buffer.WriteByte(number)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	if err := encodeValue(&target{encoder, map[string]uint64{}}, reflect.ValueOf(message)); err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	if buffer.Len() > MaxSize {
		return nil, fmt.Errorf("encoded %T has %d bytes, the limit is %d", message, buffer.Len(), MaxSize)
	}
	return bytes.Clone(buffer.Bytes()), nil
}

// Decode returns the message in data, which must hold nothing else.
func Decode(data []byte) (mulberrybeam.Message, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("message is empty")
	}
	if len(data) > MaxSize {
		return nil, fmt.Errorf("message has %d bytes, the limit is %d", len(data), MaxSize)
	}
	if int(data[0]) >= len(types) {
		return nil, fmt.Errorf("message number %d is unknown", data[0])
	}
	value := reflect.New(types[data[0]])
	reader := bytes.NewReader(data[1:])
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	if err := decodeValue(&source{Decoder: decoder, reader: reader}, value.Elem()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", value.Type().Elem().Name(), err)
	}
	if reader.Len() > 0 {
		return nil, fmt.Errorf("decode %s: %d bytes follow the message", value.Type().Elem().Name(), reader.Len())
	}
	return value.Elem().Interface().(mulberrybeam.Message), nil
}
