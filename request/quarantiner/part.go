package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"

	"mulberrybeam"
)

const (
	// maxParts is the number of shared parts of one prompt that are tracked. The
	// last ones are kept, since the first ones are shared by more requests.
	maxParts = 16
	// maxPartLength is the length in bytes above which a part is identified by a
	// hash of its name.
	maxPartLength = 96
)

// SharedParts returns the parts of a prompt that other requests to the model may
// share, which are all but the last.
func SharedParts(model mulberrybeam.ModelName, parts []mulberrybeam.PromptPart) []mulberrybeam.SharedPart {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[max(len(parts)-1-maxParts, 0) : len(parts)-1]
	shared := make([]mulberrybeam.SharedPart, len(parts))
	for i, part := range parts {
		name := string(model) + "/" + part.ID
		if len(name) > maxPartLength || !utf8.ValidString(name) {
			digest := sha256.Sum256([]byte(name))
			name = hex.EncodeToString(digest[:])
		}
		shared[i] = mulberrybeam.SharedPart(name)
	}
	return shared
}
