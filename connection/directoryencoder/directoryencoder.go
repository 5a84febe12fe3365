// Package directoryencoder encodes and decodes the directory object of a zone.
// The object is JSON: {"members": [{"id": "…", "address": "…"}]}.
package directoryencoder

import (
	"encoding/json"
	"fmt"

	"mulberrybeam"
)

// Names of the JSON fields.
const (
	fieldMembers = "members"
	fieldID      = "id"
	fieldAddress = "address"
)

// Encode returns the JSON of a directory. It contains only the IDs and
// addresses of the members.
func Encode(members []mulberrybeam.Member) []byte {
	entries := make([]map[string]string, len(members))
	for i, member := range members {
		entries[i] = map[string]string{fieldID: string(member.ID), fieldAddress: member.Address}
	}
	// Encoding maps of strings cannot fail.
	data, _ := json.Marshal(map[string]any{fieldMembers: entries})
	return data
}

// Decode returns the members of a directory. Their zones are not set.
func Decode(data []byte) ([]mulberrybeam.Member, error) {
	var document map[string][]map[string]string
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, fmt.Errorf("decode directory: %w", err)
	}
	members := make([]mulberrybeam.Member, 0, len(document[fieldMembers]))
	for i, entry := range document[fieldMembers] {
		if entry[fieldID] == "" || entry[fieldAddress] == "" {
			return nil, fmt.Errorf("decode directory: entry %d has no id or no address", i)
		}
		members = append(members, mulberrybeam.Member{ID: mulberrybeam.ProcessID(entry[fieldID]), Address: entry[fieldAddress]})
	}
	return members, nil
}
