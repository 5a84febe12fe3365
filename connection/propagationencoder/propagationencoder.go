// Package propagationencoder encodes and decodes the messages in which entry hosts
// pass on what the store says. A message is the length of its body in four bytes
// and the body in msgpack. Structs are encoded as arrays, to which new fields are
// only appended.
package propagationencoder

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

const (
	// version is the first field of a message. Messages with another version are
	// rejected.
	version    = 1
	headerSize = 4
	// maxAskBytes and maxAnswerBytes limit the bodies. A follower puts one megabyte of
	// changes into an answer at most.
	maxAskBytes    = 16 << 10
	maxAnswerBytes = 2 << 20
	// maxKinds limits the kinds of a message, and maxChanges the changes of a kind. A
	// follower keeps 2,000 of a kind.
	maxKinds   = 64
	maxChanges = 1 << 12
)

// element is an element of a list, with the largest number of elements.
type element interface{ maxCount() int }

// wireList decodes its elements one by one. The decoder of the library allocates
// memory for as many elements as the message states, whatever its size.
type wireList[T element] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *wireList[T]) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	var next T
	if limit := next.maxCount(); count > limit {
		return fmt.Errorf("%d elements are more than %d", count, limit)
	}
	for range count {
		var next T
		if err := decoder.Decode(&next); err != nil {
			return err
		}
		*l = append(*l, next)
	}
	return nil
}

type wireAsk struct {
	Version int
	ID      uint64
	From    string
	Cursors wireList[wireCursor]
}

type wireCursor struct {
	Kind    string
	Version string
	Probe   bool
}

type wireAnswer struct {
	Version int
	ID      uint64
	States  wireList[wireState]
}

type wireState struct {
	Kind   string
	Status int
	Since  string
	Next   string
	// Offset is in microseconds, rounded down, so that a confirmation never seems
	// to be later than it was.
	Offset  int64
	Changes wireList[wireChange]
}

type wireChange struct {
	Name    string
	Version string
	Deleted bool
	Data    []byte
}

func (wireCursor) maxCount() int { return maxKinds }
func (wireState) maxCount() int  { return maxKinds }
func (wireChange) maxCount() int { return maxChanges }

// WriteAsk writes an ask.
func WriteAsk(writer io.Writer, ask mulberrybeam.PropagationAsk) error {
	wire := wireAsk{Version: version, ID: ask.ID, From: string(ask.From)}
	for _, cursor := range ask.Cursors {
		wire.Cursors = append(wire.Cursors, wireCursor{string(cursor.Kind), cursor.Version, cursor.Probe})
	}
	return write(writer, &wire, maxAskBytes)
}

// ReadAsk reads an ask.
func ReadAsk(reader io.Reader) (mulberrybeam.PropagationAsk, error) {
	var wire wireAsk
	if err := read(reader, &wire, maxAskBytes); err != nil {
		return mulberrybeam.PropagationAsk{}, err
	}
	if wire.Version != version {
		return mulberrybeam.PropagationAsk{}, fmt.Errorf("ask has unsupported version %d", wire.Version)
	}
	ask := mulberrybeam.PropagationAsk{ID: wire.ID, From: mulberrybeam.ProcessID(wire.From)}
	for _, cursor := range wire.Cursors {
		ask.Cursors = append(ask.Cursors, mulberrybeam.PropagationCursor{
			Kind: mulberrybeam.ObjectKind(cursor.Kind), Version: cursor.Version, Probe: cursor.Probe,
		})
	}
	return ask, nil
}

// WriteAnswer writes an answer.
func WriteAnswer(writer io.Writer, answer mulberrybeam.PropagationAnswer) error {
	wire := wireAnswer{Version: version, ID: answer.ID}
	for _, state := range answer.States {
		encoded := wireState{
			Kind: string(state.Kind), Status: int(state.Status), Since: state.Since, Next: state.Next,
			Offset: floorMicroseconds(state.Offset),
		}
		for _, change := range state.Changes {
			encoded.Changes = append(encoded.Changes, wireChange{change.Object.Name, change.Object.Version, change.Deleted, change.Object.Data})
		}
		wire.States = append(wire.States, encoded)
	}
	return write(writer, &wire, maxAnswerBytes)
}

// ReadAnswer reads an answer.
func ReadAnswer(reader io.Reader) (mulberrybeam.PropagationAnswer, error) {
	var wire wireAnswer
	if err := read(reader, &wire, maxAnswerBytes); err != nil {
		return mulberrybeam.PropagationAnswer{}, err
	}
	if wire.Version != version {
		return mulberrybeam.PropagationAnswer{}, fmt.Errorf("answer has unsupported version %d", wire.Version)
	}
	answer := mulberrybeam.PropagationAnswer{ID: wire.ID}
	for _, state := range wire.States {
		decoded := mulberrybeam.PropagationState{
			Kind: mulberrybeam.ObjectKind(state.Kind), Status: mulberrybeam.PropagationStatus(state.Status),
			Since: state.Since, Next: state.Next, Offset: time.Duration(state.Offset) * time.Microsecond,
		}
		for _, change := range state.Changes {
			decoded.Changes = append(decoded.Changes, mulberrybeam.ObjectChanged{
				Object:  mulberrybeam.Object{Kind: decoded.Kind, Name: change.Name, Version: change.Version, Data: change.Data},
				Deleted: change.Deleted,
			})
		}
		answer.States = append(answer.States, decoded)
	}
	return answer, nil
}

// floorMicroseconds rounds down, also below zero.
func floorMicroseconds(duration time.Duration) int64 {
	microseconds := duration.Microseconds()
	if time.Duration(microseconds)*time.Microsecond > duration {
		microseconds--
	}
	return microseconds
}

// limitedBuffer fails as soon as its content would become larger than the limit, so
// that a message that is too large is not encoded as a whole first.
type limitedBuffer struct {
	buffer bytes.Buffer
	limit  int
}

// Write implements io.Writer.
func (b *limitedBuffer) Write(data []byte) (int, error) {
	if b.buffer.Len()+len(data) > b.limit {
		return 0, fmt.Errorf("message is larger than %d bytes", b.limit)
	}
	return b.buffer.Write(data)
}

// WriteByte implements io.ByteWriter.
func (b *limitedBuffer) WriteByte(value byte) error {
	_, err := b.Write([]byte{value})
	return err
}

func write(writer io.Writer, wire any, limit int) error {
	message := &limitedBuffer{limit: headerSize + limit}
	var header [headerSize]byte
	message.buffer.Write(header[:])
	encoder := msgpack.NewEncoder(message)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(wire); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	binary.BigEndian.PutUint32(message.buffer.Bytes(), uint32(message.buffer.Len()-headerSize))
	_, err := writer.Write(message.buffer.Bytes())
	return err
}

func read(reader io.Reader, wire any, limit int) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > uint32(limit) {
		return fmt.Errorf("message of %d bytes is larger than %d", size, limit)
	}
	// The buffer grows with what arrives, so that a length alone takes no memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, reader, int64(size)); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body.Bytes(), wire); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
