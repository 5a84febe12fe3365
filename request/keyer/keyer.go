// Package keyer derives the keys of a prompt's context blocks, the cache salt
// that engines receive with them, and the fingerprints of requests.
//
// All values are HMAC-SHA-256 codes computed with a secret that the entry
// processes of an environment share. Environment, workspace, model and weight
// version are part of the first link of the key chain, so context of another
// workspace or weight version cannot match.
package keyer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"

	"mulberrybeam"
)

const (
	// BlockBytes is the size of one context block of a rendered prompt.
	BlockBytes = 1024
	// TokenBytes is the number of bytes counted as one token, because there is
	// no tokenizer here.
	TokenBytes = 4
	// BlockTokens is the number of tokens counted for one block.
	BlockTokens = BlockBytes / TokenBytes
	// MinSecretBytes is the minimum length of the secret.
	MinSecretBytes = 16
)

// Labels separate the uses of the secret, so that a code computed for one use
// is never valid for another.
const (
	labelChain       = "mulberrybeam/context-chain/1"
	labelBlock       = "mulberrybeam/context-block/1"
	labelSalt        = "mulberrybeam/cache-salt/1"
	labelFingerprint = "mulberrybeam/fingerprint/1"
)

// Scope is the scope within which context may be reused. Two prompts share keys
// only if all fields are equal.
type Scope struct {
	Environment mulberrybeam.EnvironmentName
	Workspace   mulberrybeam.WorkspaceName
	Model       mulberrybeam.ModelName
	Version     mulberrybeam.WeightVersion
}

// Keyer derives keys from one secret. It is immutable and safe for concurrent
// use.
type Keyer struct {
	secret []byte
}

// New returns a Keyer for a secret of at least MinSecretBytes bytes. It copies
// the secret.
func New(secret []byte) (*Keyer, error) {
	if len(secret) < MinSecretBytes {
		return nil, fmt.Errorf("secret has %d bytes; at least %d are required", len(secret), MinSecretBytes)
	}
	return &Keyer{secret: bytes.Clone(secret)}, nil
}

// Keys returns the chained keys of the complete blocks of a rendered prompt.
// The bytes after the last complete block have no key.
func (k *Keyer) Keys(scope Scope, prompt []byte) []mulberrybeam.BlockKey {
	mac := hmac.New(sha256.New, k.secret)
	var link [sha256.Size]byte
	writeScope(mac, labelChain, scope)
	mac.Sum(link[:0])
	keys := make([]mulberrybeam.BlockKey, len(prompt)/BlockBytes)
	for i := range keys {
		mac.Reset()
		_, _ = mac.Write(blockLabel)
		_, _ = mac.Write(link[:])
		_, _ = mac.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		mac.Sum(link[:0])
		copy(keys[i][:], link[:])
	}
	return keys
}

// Salt returns the hexadecimal cache salt that engines receive for a scope.
func (k *Keyer) Salt(scope Scope) string {
	mac := hmac.New(sha256.New, k.secret)
	writeScope(mac, labelSalt, scope)
	return hex.EncodeToString(mac.Sum(nil))
}

// Fingerprint returns the keyed hash that identifies a request by its workspace
// and raw body.
func (k *Keyer) Fingerprint(workspace mulberrybeam.WorkspaceName, rawBody []byte) mulberrybeam.Fingerprint {
	mac := hmac.New(sha256.New, k.secret)
	writeField(mac, labelFingerprint)
	writeField(mac, string(workspace))
	_, _ = mac.Write(rawBody)
	return mulberrybeam.Fingerprint(mac.Sum(nil)[:len(mulberrybeam.Fingerprint{})])
}

// PromptTokens estimates the number of tokens in a rendered prompt from its
// length in bytes.
func PromptTokens(bytes int) int {
	return (bytes + TokenBytes - 1) / TokenBytes
}

func writeScope(mac hash.Hash, label string, scope Scope) {
	writeField(mac, label)
	writeField(mac, string(scope.Environment))
	writeField(mac, string(scope.Workspace))
	writeField(mac, string(scope.Model))
	writeField(mac, string(scope.Version))
}

// blockLabel is encoded only once because every block needs it.
var blockLabel = appendField(nil, labelBlock)

func writeField(mac hash.Hash, field string) {
	_, _ = mac.Write(appendField(nil, field))
}

// appendField appends the length of the field and then its bytes, so that no
// two sequences of fields have the same encoding.
func appendField(buffer []byte, field string) []byte {
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(field)))
	return append(buffer, field...)
}
