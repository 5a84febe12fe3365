package encoder

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"mulberrybeam"
)

// Refusal is the body of a refusal.
type Refusal struct {
	Error *RefusalError `json:"error"`
}

// RefusalError is the content of a refusal.
type RefusalError struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not-run,omitempty"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

// Context is the extension field of a completion.
type Context struct {
	Salt       string   `json:"salt"`
	Keys       []string `json:"keys"`
	BlockBytes int      `json:"block-bytes"`
	Version    string   `json:"version"`
	Generated  []string `json:"generated,omitempty"`
}

// Chunk is one event of an answer stream, an OpenAI chat.completion.chunk.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []Choice      `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Error   *RefusalError `json:"error,omitempty"`
}

// Usage is the OpenAI count of the tokens of one run.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails split the prompt's tokens.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Plain returns the root form, nil for nil.
func (u *Usage) Plain() *mulberrybeam.Usage {
	if u == nil {
		return nil
	}
	plain := &mulberrybeam.Usage{PromptTokens: u.PromptTokens}
	if u.Details != nil {
		plain.CachedTokens = u.Details.CachedTokens
	}
	return plain
}

// Choice is the one choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the added text of a choice.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Load is a load report.
type Load struct {
	Instance       string            `json:"instance"`
	Sequence       uint64            `json:"sequence"`
	LagMs          int64             `json:"lag-ms"`
	Running        int               `json:"running"`
	Waiting        int               `json:"waiting"`
	WeightVersions map[string]string `json:"weight-versions,omitempty"`
	Leaving        bool              `json:"leaving"`
}

// Report returns the plain form of a load report.
func (l Load) Report(target mulberrybeam.TargetID) mulberrybeam.LoadReport {
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

// CacheEvents is a list of cache events.
type CacheEvents struct {
	Instance string       `json:"instance"`
	Events   []CacheEvent `json:"events"`
}

// CacheEvent is one cache event.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []string `json:"stored,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// Import asks an engine to load a kept context.
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

// Imported is the answer to an import.
type Imported struct {
	Tokens int `json:"tokens"`
}

// Export asks an engine to write a context to a store.
type Export struct {
	Keys         []string `json:"keys"`
	StoreAddress string   `json:"store-address"`
	Generation   uint64   `json:"generation"`
	Salt         string   `json:"salt"`
	Version      string   `json:"version,omitempty"`
}

// Order is an order to an engine.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// Keys is a list of block keys.
type Keys struct {
	Keys []string `json:"keys"`
}

// Manifests is a list of manifests.
type Manifests struct {
	Manifests []Manifest `json:"manifests"`
}

// Manifest describes a kept context.
type Manifest struct {
	Key        string `json:"key"`
	Blocks     int    `json:"blocks"`
	Bytes      int64  `json:"bytes"`
	Checksum   string `json:"checksum"`
	Generation uint64 `json:"generation"`
	Tier       string `json:"tier,omitempty"`
}

// Plain returns the plain form of a manifest.
func (m Manifest) Plain(store mulberrybeam.StoreID) (mulberrybeam.Manifest, error) {
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

// KeyText returns the hexadecimal form of a block key.
func KeyText(key mulberrybeam.BlockKey) string { return hex.EncodeToString(key[:]) }

// KeyTexts returns the hexadecimal forms of block keys.
func KeyTexts(keys []mulberrybeam.BlockKey) []string {
	texts := make([]string, len(keys))
	for i, key := range keys {
		texts[i] = KeyText(key)
	}
	return texts
}

// ParseKey reads the hexadecimal form of a block key.
func ParseKey(text string) (mulberrybeam.BlockKey, error) {
	var key mulberrybeam.BlockKey
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(key) {
		return key, fmt.Errorf("block key %q is not %d hexadecimal bytes", text, len(key))
	}
	copy(key[:], raw)
	return key, nil
}

// ParseKeys reads the hexadecimal forms of block keys.
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

// ChecksumText returns the hexadecimal form of an xxhash64 checksum.
func ChecksumText(checksum uint64) string { return fmt.Sprintf("%016x", checksum) }

// ParseChecksum reads the hexadecimal form of a checksum.
func ParseChecksum(text string) (uint64, error) {
	checksum, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("checksum %q is not a hexadecimal number", text)
	}
	return checksum, nil
}
