// Package intentencoder encodes and decodes the records of non-repeatable calls
// as the JSON of intent objects.
package intentencoder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/intender"
)

// wireRecord is the JSON form of an intender.Record.
type wireRecord struct {
	Workspace   string       `json:"workspace"`
	Service     string       `json:"service"`
	Call        string       `json:"call"`
	Key         string       `json:"idempotency-key"`
	BodyHash    string       `json:"body-sha256"`
	Attempt     string       `json:"attempt"`
	Process     string       `json:"process"`
	CreatedMs   int64        `json:"created-ms"`
	OpenUntilMs int64        `json:"open-until-ms"`
	Progress    string       `json:"progress"`
	Outcome     *wireOutcome `json:"outcome,omitempty"`
}

// wireOutcome is the JSON form of an intender.Outcome.
type wireOutcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body-omitted,omitempty"`
	BodyBytes   int    `json:"body-bytes"`
}

// Codec returns the codec for an intender.Driver.
func Codec() intender.Codec { return intender.Codec{Encode: Encode, Decode: Decode} }

// Encode returns the JSON of a record.
func Encode(record intender.Record) ([]byte, error) {
	wire := wireRecord{
		Workspace: string(record.Workspace), Service: string(record.Service), Call: record.Call,
		Key: record.Key, BodyHash: hex.EncodeToString(record.BodyHash[:]),
		Attempt: record.Attempt, Process: string(record.Process),
		CreatedMs: record.CreatedAt.UnixMilli(), OpenUntilMs: record.OpenUntil.UnixMilli(),
		Progress: string(record.Progress),
	}
	if record.Outcome != nil {
		o := wireOutcome(*record.Outcome)
		wire.Outcome = &o
	}
	return json.Marshal(wire)
}

// Decode parses the JSON of a record. An unknown progress or a hash of the
// wrong length is an error, so that a damaged record is never taken for a
// finished or absent call.
func Decode(data []byte) (intender.Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return intender.Record{}, fmt.Errorf("intent record is not valid JSON: %w", err)
	}
	hash, err := hex.DecodeString(wire.BodyHash)
	if err != nil || len(hash) != sha256.Size {
		return intender.Record{}, fmt.Errorf("intent record has invalid body hash %q", wire.BodyHash)
	}
	progress := intender.Progress(wire.Progress)
	switch progress {
	case intender.Open, intender.Done, intender.Unknown:
	default:
		return intender.Record{}, fmt.Errorf("intent record has unknown progress %q", wire.Progress)
	}
	record := intender.Record{
		Workspace: mulberrybeam.WorkspaceName(wire.Workspace), Service: mulberrybeam.ServiceName(wire.Service),
		Call: wire.Call, Key: wire.Key, BodyHash: [sha256.Size]byte(hash),
		Attempt: wire.Attempt, Process: mulberrybeam.ProcessID(wire.Process),
		CreatedAt: time.UnixMilli(wire.CreatedMs), OpenUntil: time.UnixMilli(wire.OpenUntilMs), Progress: progress,
	}
	if wire.Outcome != nil {
		o := intender.Outcome(*wire.Outcome)
		record.Outcome = &o
	}
	return record, nil
}
