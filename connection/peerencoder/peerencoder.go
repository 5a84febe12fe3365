// Package peerencoder encodes and decodes messages between entry processes. It
// uses msgpack with structs as arrays, so that field names are not sent and new
// fields are only ever appended: a decoder skips fields that it does not know
// and leaves those that a sender of an earlier version omits at zero. A
// repeated string is sent as its index among the earlier strings of the
// message.
package peerencoder

import (
	"bytes"
	"fmt"
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

// MaxMessageSize limits an encoded message in bytes. The largest is a reply with an
// environment document, which the object API limits to one megabyte.
const MaxMessageSize = 2 << 20

// messageTypes lists the message types. The index of a type is its number on
// the wire, so new types are appended.
var messageTypes = []reflect.Type{
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

// typeNumbers maps each message type to its number on the wire.
var typeNumbers = func() map[reflect.Type]byte {
	byType := map[reflect.Type]byte{}
	for number, messageType := range messageTypes {
		byType[messageType] = byte(number)
	}
	return byType
}()

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Encode returns the encoding of a message: one byte for the number of its
// type, then its fields.
func Encode(message mulberrybeam.Message) ([]byte, error) {
	number, known := typeNumbers[reflect.TypeOf(message)]
	if !known {
		return nil, fmt.Errorf("unknown message type %T", message)
	}
	buffer := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buffer)
	buffer.Reset()
	buffer.WriteByte(number)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	if err := encodeValue(&encodeState{encoder, map[string]uint64{}}, reflect.ValueOf(message)); err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	if buffer.Len() > MaxMessageSize {
		return nil, fmt.Errorf("encoded %T of %d bytes exceeds the limit of %d", message, buffer.Len(), MaxMessageSize)
	}
	return bytes.Clone(buffer.Bytes()), nil
}

// Decode decodes a message. Bytes after the message are an error.
func Decode(data []byte) (mulberrybeam.Message, error) {
	if len(data) == 0 {
		return nil, fmt.Errorf("message is empty")
	}
	if len(data) > MaxMessageSize {
		return nil, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(data), MaxMessageSize)
	}
	if int(data[0]) >= len(messageTypes) {
		return nil, fmt.Errorf("unknown message type number %d", data[0])
	}
	value := reflect.New(messageTypes[data[0]])
	reader := bytes.NewReader(data[1:])
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	if err := decodeValue(&decodeState{Decoder: decoder, reader: reader}, value.Elem()); err != nil {
		return nil, fmt.Errorf("decode %s: %w", value.Type().Elem().Name(), err)
	}
	if reader.Len() > 0 {
		return nil, fmt.Errorf("decode %s: %d trailing bytes", value.Type().Elem().Name(), reader.Len())
	}
	return value.Elem().Interface().(mulberrybeam.Message), nil
}
