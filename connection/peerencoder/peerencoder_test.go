package peerencoder_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
	"mulberrybeam/connection/peerencoder"
)

var samples = []mulberrybeam.Message{
	mulberrybeam.Exchange{
		From: "a/1", Zone: "z1", Revision: 7,
		Members: []mulberrybeam.Member{{ID: "b/2", Zone: "z1", Address: "10.0.0.1:7", Heartbeat: 900, State: mulberrybeam.MemberAlive, Revision: 7}},
		Facts: []mulberrybeam.Fact{{
			Kind: mulberrybeam.FactCrash, Key: "k", TTL: time.Minute,
			Stamp: mulberrybeam.Stamp{Wall: 1_700_000_000_000, Counter: 3, Process: "a/1"},
			Crash: &mulberrybeam.CrashFact{Fingerprint: mulberrybeam.Fingerprint{1, 2, 255}, Count: 1, Target: "t"},
		}},
		Digest: []mulberrybeam.FactDigest{{Kind: mulberrybeam.FactLoad, Key: "t"}},
	},
	mulberrybeam.ExchangeReply{Wanted: []mulberrybeam.FactDigest{{Kind: mulberrybeam.FactDrain, Key: "t"}}},
	mulberrybeam.FetchEnvironment{From: "a/1", Above: 3},
	mulberrybeam.FetchEnvironmentReply{Revision: 4, Document: []byte("{}")},
	mulberrybeam.Fence{From: "a/1", Slot: mulberrybeam.Slot{Zone: "z1", Number: 2}, Epoch: 9},
	mulberrybeam.FenceReply{Fenced: true, Remaining: time.Second},
	mulberrybeam.Extend{From: "a/1", Epoch: 9},
	mulberrybeam.ExtendReply{Granted: true},
	mulberrybeam.AskPermit{From: "a/1", Target: "t", Request: "r", RunLimit: time.Minute},
	mulberrybeam.AskPermitReply{Granted: true, Permit: 1 << 60, Valid: 2 * time.Second},
	mulberrybeam.ReleasePermit{From: "a/1", Completed: true},
	mulberrybeam.ReleasePermitReply{},
}

// Guards against a message type without a number and against fields lost in
// encoding.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, message := range samples {
		data, err := peerencoder.Encode(message)
		is.NoErr(err)
		decoded, err := peerencoder.Decode(data)
		is.NoErr(err)
		is.Equal(decoded, message)
	}
}

// Guards against messages that cannot be decoded during a rolling upgrade, when
// one side has appended a field.
func TestAppendedField(t *testing.T) {
	is := is.New(t)
	longer, err := msgpack.Marshal([]any{"a/1", 3, "a later field"})
	is.NoErr(err)
	message, err := peerencoder.Decode(append([]byte{2}, longer...))
	is.NoErr(err)
	is.Equal(message, mulberrybeam.FetchEnvironment{From: "a/1", Above: 3})
	shorter, err := msgpack.Marshal([]any{"a/1"})
	is.NoErr(err)
	message, err = peerencoder.Decode(append([]byte{2}, shorter...))
	is.NoErr(err)
	is.Equal(message, mulberrybeam.FetchEnvironment{From: "a/1"})
}

// Guards against invalid data that decodes without an error.
func TestDecodeErrors(t *testing.T) {
	valid, err := peerencoder.Encode(samples[0])
	is.New(t).NoErr(err)
	cases := map[string][]byte{
		"empty":          {},
		"unknown number": {200, 0x90},
		"garbage":        {0, 0xc1, 0xff},
		"truncated":      valid[:len(valid)-5],
		"trailing bytes": append(append([]byte{}, valid...), 0),
		"deeply nested":  append(append([]byte{4, 0x94}, "\xa0\x90\x00"...), bytes.Repeat([]byte{0x91}, 1<<20)...),
		"oversized":      make([]byte, peerencoder.MaxMessageSize+1),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := peerencoder.Decode(data)
			is.True(err != nil)
		})
	}
}

// Guards against data that makes the decoder panic or that decodes to a message
// that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, message := range samples {
		data, err := peerencoder.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := peerencoder.Decode(data)
		if err != nil {
			return
		}
		if _, err := peerencoder.Encode(message); err != nil {
			t.Fatal(err)
		}
	})
}
