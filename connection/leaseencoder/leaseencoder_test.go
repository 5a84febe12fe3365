package leaseencoder_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/connection/leaseencoder"
)

// Guards against a field lost in encoding, which would let a takeover ignore an
// elector or an epoch.
func TestLeaseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lease := mulberrybeam.SlotLease{
			Slot:     mulberrybeam.Slot{Zone: mulberrybeam.ZoneName(rapid.String().Draw(t, "zone")), Number: rapid.Int().Draw(t, "number")},
			Holder:   mulberrybeam.ProcessID(rapid.String().Draw(t, "holder")),
			Address:  rapid.String().Draw(t, "address"),
			Epoch:    mulberrybeam.Epoch(rapid.Uint64().Draw(t, "epoch")),
			Electors: []mulberrybeam.ProcessID{mulberrybeam.ProcessID(rapid.String().Draw(t, "elector"))},
			Nonce:    rapid.String().Draw(t, "nonce"),
		}
		decoded, err := leaseencoder.Decode(leaseencoder.Encode(lease))
		is := is.New(t)
		is.NoErr(err)
		is.Equal(decoded, lease)
	})
}

// Guards against a damaged object that is taken for a free slot.
func TestDecodeDamagedLease(t *testing.T) {
	is := is.New(t)
	_, err := leaseencoder.Decode([]byte(`{"zone":`))
	is.True(err != nil)
}
