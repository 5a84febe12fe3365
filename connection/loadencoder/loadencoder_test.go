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

// Guards against a datagram that panics, or that makes a target look as if it had
// less load than none.
func FuzzDecode(f *testing.F) {
	valid, err := loadencoder.Encode(mulberrybeam.LoadUpdate{From: "h", Sequence: 7, Targets: []mulberrybeam.SharedLoad{
		{Target: "t", Load: mulberrybeam.TargetLoad{Requests: 1, PrefillTokens: 2, HeldTokens: 3}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x94, 0x01, 0xa1, 'h', 0x01, 0xdd, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		update, err := loadencoder.Decode(datagram)
		if err != nil {
			return
		}
		for _, shared := range update.Targets {
			if shared.Load.Requests < 0 || shared.Load.PrefillTokens < 0 || shared.Load.HeldTokens < 0 {
				t.Errorf("%+v", shared)
			}
		}
	})
}
