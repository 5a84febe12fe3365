package loadencoder

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

// maxFragile limits the fragile targets in a datagram.
const maxFragile = 500

// wireFragile is the encoded form of a mulberrybeam.SharedFragility.
type wireFragile struct {
	Target      string
	MaxRefusals uint64
	AgeMs       uint64
}

type wireFragileList []wireFragile

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *wireFragileList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxFragile, (*[]wireFragile)(f))
}

// addFragile adds fragile targets to a datagram, as far as it may hold them.
func addFragile(wire *wireShare, fragile []mulberrybeam.SharedFragility) {
	for _, target := range fragile[:min(len(fragile), maxFragile)] {
		wire.Fragile = append(wire.Fragile, wireFragile{
			string(target.Target), uint64(max(target.MaxRefusals, 0)), uint64(max(target.Age, 0) / time.Millisecond),
		})
	}
}

// targets returns the fragile targets of a datagram. Numbers that are too large for their
// fields are limited.
func (f wireFragileList) targets() []mulberrybeam.SharedFragility {
	const (
		maxAgeMs    = uint64(time.Hour / time.Millisecond)
		maxRefusals = uint64(1 << 30)
	)
	var fragile []mulberrybeam.SharedFragility
	for _, wire := range f {
		fragile = append(fragile, mulberrybeam.SharedFragility{
			Target: mulberrybeam.InstanceID(wire.Target), MaxRefusals: int(min(wire.MaxRefusals, maxRefusals)),
			Age: time.Duration(min(wire.AgeMs, maxAgeMs)) * time.Millisecond,
		})
	}
	return fragile
}
