// Package leaseencoder encodes and decodes slot leases as the JSON of slot
// objects.
package leaseencoder

import (
	"encoding/json"

	"mulberrybeam"
)

// lease is the JSON form of a mulberrybeam.SlotLease.
type lease struct {
	Zone     mulberrybeam.ZoneName    `json:"zone"`
	Number   int                      `json:"number"`
	Holder   mulberrybeam.ProcessID   `json:"holder"`
	Address  string                   `json:"address"`
	Epoch    mulberrybeam.Epoch       `json:"epoch"`
	Electors []mulberrybeam.ProcessID `json:"electors"`
	Nonce    string                   `json:"nonce"`
}

// Encode returns the JSON of a slot lease.
func Encode(plain mulberrybeam.SlotLease) []byte {
	data, err := json.Marshal(lease{
		Zone:     plain.Slot.Zone,
		Number:   plain.Slot.Number,
		Holder:   plain.Holder,
		Address:  plain.Address,
		Epoch:    plain.Epoch,
		Electors: plain.Electors,
		Nonce:    plain.Nonce,
	})
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail
	}
	return data
}

// Decode parses the JSON of a slot lease.
func Decode(data []byte) (mulberrybeam.SlotLease, error) {
	var form lease
	if err := json.Unmarshal(data, &form); err != nil {
		return mulberrybeam.SlotLease{}, &mulberrybeam.Failure{
			Code:    mulberrybeam.CodeBadRequest,
			Step:    mulberrybeam.StepParse,
			Peer:    "platform",
			Message: "invalid slot lease",
			Cause:   err,
		}
	}
	return mulberrybeam.SlotLease{
		Slot:     mulberrybeam.Slot{Zone: form.Zone, Number: form.Number},
		Holder:   form.Holder,
		Address:  form.Address,
		Epoch:    form.Epoch,
		Electors: form.Electors,
		Nonce:    form.Nonce,
	}, nil
}
