package loadencoder_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
	"mulberrybeam/connection/loadencoder"
)

// Guards against loads that are lost or changed in encoding.
func TestSharesReadBack(t *testing.T) {
	is := is.New(t)
	share := mulberrybeam.LoadShare{From: "a", Sequence: 7, Targets: []mulberrybeam.SharedLoad{
		{Target: "t1", Load: mulberrybeam.TargetLoad{Requests: 1, Unread: 2, Held: 3}}, {Target: "t2"},
	}}
	datagram, err := loadencoder.Encode(share)
	is.NoErr(err)
	read, err := loadencoder.Decode(datagram)
	is.NoErr(err)
	is.Equal(read, share)
}

// Guards against datagrams from other software or with invalid content that
// decode without an error.
func TestFaultyDatagrams(t *testing.T) {
	faulty := func(value any) []byte {
		datagram, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return datagram
	}
	for name, datagram := range map[string][]byte{
		"empty":         {},
		"text":          []byte("hello"),
		"other version": faulty([]any{2, "a", 1, []any{}}),
		"negative load": faulty([]any{1, "a", 1, []any{[]any{"t", -1, 0, 0}}}),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadencoder.Decode(datagram)
			is.New(t).True(err != nil)
		})
	}
}
