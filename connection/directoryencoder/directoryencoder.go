// Package directoryencoder turns the directory object of a zone into bytes
// and back. The object is JSON: {"members": [{"id": "…", "address": "…"}]}.
package directoryencoder

import (
	"encoding/json"
	"fmt"

	"mulberrybeam"
)

// Names of the fields.
const (
	fieldMembers = "members"
	fieldID      = "id"
	fieldAddress = "address"
)

// Encode returns the directory of members. Only their ids and addresses are
// kept.
func Encode(members []mulberrybeam.Member) []byte {
	entries := make([]map[string]string, len(members))
	for i, member := range members {
		entries[i] = map[string]string{fieldID: string(member.ID), fieldAddress: member.Address}
	}
	// Maps of strings always have a JSON form.
	data, _ := json.Marshal(map[string]any{fieldMembers: entries})
	return data
}

// Decode returns the members of a directory, without a zone.
func Decode(data []byte) ([]mulberrybeam.Member, error) {
	var document map[string][]map[string]string
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, fmt.Errorf("decode directory: %w", err)
	}
	members := make([]mulberrybeam.Member, 0, len(document[fieldMembers]))
	for i, entry := range document[fieldMembers] {
		if entry[fieldID] == "" || entry[fieldAddress] == "" {
			return nil, fmt.Errorf("decode directory: entry %d lacks an id or an address", i)
		}
		members = append(members, mulberrybeam.Member{ID: mulberrybeam.ProcessID(entry[fieldID]), Address: entry[fieldAddress]})
	}
	return members, nil
}
