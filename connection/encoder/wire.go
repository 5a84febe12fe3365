package encoder

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"mulberrybeam"
)

// Refusal is the body of an error response.
type Refusal struct {
	Error *RefusalError `json:"error"`
}

// RefusalError describes the error in an error response or in a stream.
type RefusalError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not-run,omitempty"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

// Context is the "context" field that is added to a chat completion request.
type Context struct {
	Salt       string   `json:"salt"`
	Keys       []string `json:"keys"`
	BlockBytes int      `json:"block-bytes"`
	Version    string   `json:"version"`
	Generated  []string `json:"generated,omitempty"`
}

// Chunk is one event of a response stream, an OpenAI chat.completion.chunk.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []Choice      `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Error   *RefusalError `json:"error,omitempty"`
}

// Usage has the token counts of one run, in the OpenAI format.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails says how many of the prompt's tokens were cached.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Decode converts the usage to a mulberrybeam.Usage. It returns nil for nil.
func (u *Usage) Decode() *mulberrybeam.Usage {
	if u == nil {
		return nil
	}
	usage := &mulberrybeam.Usage{PromptTokens: u.PromptTokens}
	if u.Details != nil {
		usage.CachedTokens = u.Details.CachedTokens
	}
	return usage
}

// Choice is the only choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds to a choice.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// LoadReport is the load report of a target.
type LoadReport struct {
	Instance       string            `json:"instance"`
	Sequence       uint64            `json:"sequence"`
	LagMs          int64             `json:"lag-ms"`
	Running        int               `json:"running"`
	Waiting        int               `json:"waiting"`
	WeightVersions map[string]string `json:"weight-versions,omitempty"`
	Leaving        bool              `json:"leaving"`
}

// Decode converts the load report of the given target to a
// mulberrybeam.LoadReport.
func (l LoadReport) Decode(target mulberrybeam.TargetID) mulberrybeam.LoadReport {
	versions := make(map[mulberrybeam.ModelName]mulberrybeam.WeightVersion, len(l.WeightVersions))
	for model, version := range l.WeightVersions {
		versions[mulberrybeam.ModelName(model)] = mulberrybeam.WeightVersion(version)
	}
	return mulberrybeam.LoadReport{
		Target: target, Instance: mulberrybeam.InstanceID(l.Instance), Sequence: l.Sequence,
		Lag:     time.Duration(l.LagMs) * time.Millisecond,
		Running: l.Running, Waiting: l.Waiting, WeightVersions: versions, Leaving: l.Leaving,
	}
}

// CacheEvents is the response to a request for an engine's cache events.
type CacheEvents struct {
	Instance string       `json:"instance"`
	Events   []CacheEvent `json:"events"`
}

// CacheEvent has the keys of the blocks that were stored in and removed from an
// engine's prefix cache.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []string `json:"stored,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// Import is a request to an engine to import a context from a store.
type Import struct {
	Key          string   `json:"key"`
	Keys         []string `json:"keys"`
	StoreAddress string   `json:"store-address"`
	Generation   uint64   `json:"generation"`
	Checksum     string   `json:"checksum"`
	Bytes        int64    `json:"bytes"`
	Salt         string   `json:"salt"`
	Version      string   `json:"version,omitempty"`
}

// ImportResult is the response to an import. Tokens is the number of tokens of
// context that were imported.
type ImportResult struct {
	Tokens int `json:"tokens"`
}

// Export is a request to an engine to write a context to a store.
type Export struct {
	Keys         []string `json:"keys"`
	StoreAddress string   `json:"store-address"`
	Generation   uint64   `json:"generation"`
	Salt         string   `json:"salt"`
	Version      string   `json:"version,omitempty"`
}

// Order is an order to an engine, such as to load weights.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Keys is a request to a store for the manifests of the contexts with these
// keys.
type Keys struct {
	Keys []string `json:"keys"`
}

// Manifests is the response to Keys.
type Manifests struct {
	Manifests []Manifest `json:"manifests"`
}

// Manifest describes a context in a store.
type Manifest struct {
	Key        string `json:"key"`
	Blocks     int    `json:"blocks"`
	Bytes      int64  `json:"bytes"`
	Checksum   string `json:"checksum"`
	Generation uint64 `json:"generation"`
	Tier       string `json:"tier,omitempty"`
}

// Decode converts the manifest to a mulberrybeam.Manifest of the given store.
func (m Manifest) Decode(store mulberrybeam.StoreID) (mulberrybeam.Manifest, error) {
	key, err := ParseKey(m.Key)
	if err != nil {
		return mulberrybeam.Manifest{}, err
	}
	checksum, err := ParseChecksum(m.Checksum)
	if err != nil {
		return mulberrybeam.Manifest{}, err
	}
	return mulberrybeam.Manifest{
		Key: key, Store: store, Blocks: m.Blocks, Bytes: m.Bytes,
		Checksum: checksum, Generation: m.Generation, Tier: mulberrybeam.Tier(m.Tier),
	}, nil
}

// FormatKey encodes a block key in hexadecimal.
func FormatKey(key mulberrybeam.BlockKey) string { return hex.EncodeToString(key[:]) }

// FormatKeys encodes block keys in hexadecimal.
func FormatKeys(keys []mulberrybeam.BlockKey) []string {
	encoded := make([]string, len(keys))
	for i, key := range keys {
		encoded[i] = FormatKey(key)
	}
	return encoded
}

// ParseKey decodes a block key from hexadecimal.
func ParseKey(text string) (mulberrybeam.BlockKey, error) {
	var key mulberrybeam.BlockKey
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(key) {
		return key, fmt.Errorf("block key %q is not %d bytes in hexadecimal", text, len(key))
	}
	copy(key[:], raw)
	return key, nil
}

// ParseKeys decodes block keys from hexadecimal.
func ParseKeys(texts []string) ([]mulberrybeam.BlockKey, error) {
	keys := make([]mulberrybeam.BlockKey, len(texts))
	for i, text := range texts {
		key, err := ParseKey(text)
		if err != nil {
			return nil, err
		}
		keys[i] = key
	}
	return keys, nil
}

// FormatChecksum encodes an xxhash64 checksum in hexadecimal.
func FormatChecksum(checksum uint64) string { return fmt.Sprintf("%016x", checksum) }

// ParseChecksum decodes a checksum from hexadecimal.
func ParseChecksum(text string) (uint64, error) {
	checksum, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("checksum %q is not a hexadecimal number", text)
	}
	return checksum, nil
}
