// Package leaseencoder encodes and decodes slot leases as the JSON of slot
// objects.
package leaseencoder

import (
	"encoding/json"

	"mulberrybeam"
)

// wireLease is the JSON form of a mulberrybeam.SlotLease.
type wireLease struct {
	Zone     mulberrybeam.ZoneName    `json:"zone"`
	Number   int                      `json:"number"`
	Holder   mulberrybeam.ProcessID   `json:"holder"`
	Address  string                   `json:"address"`
	Epoch    mulberrybeam.Epoch       `json:"epoch"`
	Electors []mulberrybeam.ProcessID `json:"electors"`
	Nonce    string                   `json:"nonce"`
}

// Encode returns the JSON of a slot lease.
func Encode(lease mulberrybeam.SlotLease) []byte {
	data, err := json.Marshal(wireLease{
		Zone:     lease.Slot.Zone,
		Number:   lease.Slot.Number,
		Holder:   lease.Holder,
		Address:  lease.Address,
		Epoch:    lease.Epoch,
		Electors: lease.Electors,
		Nonce:    lease.Nonce,
	})
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail
	}
	return data
}

// Decode parses the JSON of a slot lease.
func Decode(data []byte) (mulberrybeam.SlotLease, error) {
	var wire wireLease
	if err := json.Unmarshal(data, &wire); err != nil {
		return mulberrybeam.SlotLease{}, &mulberrybeam.Failure{
			Code:    mulberrybeam.CodeBadRequest,
			Step:    mulberrybeam.StepParse,
			Peer:    "platform",
			Message: "invalid slot lease",
			Cause:   err,
		}
	}
	return mulberrybeam.SlotLease{
		Slot:     mulberrybeam.Slot{Zone: wire.Zone, Number: wire.Number},
		Holder:   wire.Holder,
		Address:  wire.Address,
		Epoch:    wire.Epoch,
		Electors: wire.Electors,
		Nonce:    wire.Nonce,
	}, nil
}
