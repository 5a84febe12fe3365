package loadencoder

import (
	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

const (
	// maxShares and maxStreams limit what a datagram may hold.
	maxShares  = 32
	maxStreams = 2000
)

// wireStreamShare is the encoded form of a mulberrybeam.StreamShare.
type wireStreamShare struct {
	Service  string
	Software string
	Streams  wireKeys
}

type (
	wireStreamShares []wireStreamShare
	wireKeys         []uint64
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *wireStreamShares) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxShares, (*[]wireStreamShare)(s))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (k *wireKeys) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxStreams, (*[]uint64)(k))
}

// addStreams adds the streams of an update to a datagram, as far as it may hold them.
func addStreams(wire *wireShare, update mulberrybeam.StreamUpdate) {
	wire.Run = update.Run
	for _, share := range update.Shares[:min(len(update.Shares), maxShares)] {
		encoded := wireStreamShare{Service: string(share.Service), Software: string(share.Software)}
		for _, key := range share.Streams[:min(len(share.Streams), maxStreams)] {
			encoded.Streams = append(encoded.Streams, uint64(key))
		}
		wire.Streams = append(wire.Streams, encoded)
	}
}

// streams returns the streams of a datagram.
func (s *wireShare) streams() mulberrybeam.StreamUpdate {
	update := mulberrybeam.StreamUpdate{Run: s.Run}
	for _, wire := range s.Streams {
		share := mulberrybeam.StreamShare{StreamOrigin: mulberrybeam.StreamOrigin{
			Service: mulberrybeam.ServiceName(wire.Service), Software: mulberrybeam.SoftwareVersion(wire.Software),
		}}
		for _, key := range wire.Streams {
			share.Streams = append(share.Streams, mulberrybeam.StreamKey(key))
		}
		update.Shares = append(update.Shares, share)
	}
	return update
}
