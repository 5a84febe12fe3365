package loadencoder_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
	"mulberrybeam/connection/loadencoder"
)

// Guards against loads that are lost or changed in encoding.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	share := mulberrybeam.LoadUpdate{From: "a", Sequence: 7, Targets: []mulberrybeam.SharedLoad{
		{Target: "t1", Load: mulberrybeam.TargetLoad{Requests: 1, PrefillTokens: 2, HeldTokens: 3}}, {Target: "t2"},
	}}
	datagram, err := loadencoder.Encode(share)
	is.NoErr(err)
	decoded, err := loadencoder.Decode(datagram)
	is.NoErr(err)
	is.Equal(decoded, share)
}

// Guards against datagrams from other software or with invalid content that
// decode without an error.
func TestInvalidDatagrams(t *testing.T) {
	marshal := func(value any) []byte {
		datagram, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return datagram
	}
	for name, datagram := range map[string][]byte{
		"empty":         {},
		"text":          []byte("hello"),
		"other version": marshal([]any{2, "a", 1, []any{}}),
		"negative load": marshal([]any{1, "a", 1, []any{[]any{"t", -1, 0, 0}}}),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadencoder.Decode(datagram)
			is.New(t).True(err != nil)
		})
	}
}
