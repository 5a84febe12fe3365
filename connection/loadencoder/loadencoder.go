// Package loadencoder encodes and decodes the datagrams in which entry hosts
// report the load that they put on targets to each other. Structs are encoded
// as arrays, to which new fields are only appended.
package loadencoder

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

// version is the first field of a datagram. Datagrams with another version are
// rejected.
const version = 1

// wireShare is the encoded form of a mulberrybeam.LoadUpdate.
type wireShare struct {
	Version  int
	From     string
	Sequence uint64
	Targets  wireLoads
	// The fields below are missing in a datagram without rollouts and streams.
	Incarnation uint64
	Rollouts    wireReports
	// Run and Streams are those of a mulberrybeam.StreamUpdate.
	Run     uint64
	Streams wireStreamShares
	// Isolated is missing in a datagram of a host that reaches targets.
	Isolated bool
	Fragile  wireFragileList
	Shares   wireShareUpdate
}

// maxTargets is the largest number of targets in a datagram.
const maxTargets = 1000

// wireLoads decodes its elements one by one. The decoder of the library allocates
// memory for as many elements as the datagram states, whatever its size.
type wireLoads []wireLoad

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *wireLoads) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > maxTargets {
		return fmt.Errorf("%d targets are more than %d", count, maxTargets)
	}
	for range count {
		var load wireLoad
		if err := decoder.Decode(&load); err != nil {
			return err
		}
		*l = append(*l, load)
	}
	return nil
}

// wireLoad is the encoded form of a mulberrybeam.SharedLoad.
type wireLoad struct {
	Target        string
	Requests      int
	PrefillTokens int
	HeldTokens    int
}

// Encode returns the datagram of a load share.
func Encode(share mulberrybeam.LoadUpdate) ([]byte, error) {
	wire := wireShare{Version: version, From: string(share.From), Sequence: share.Sequence, Isolated: share.Isolated}
	for _, target := range share.Targets {
		wire.Targets = append(wire.Targets, wireLoad{
			Target: string(target.Target), Requests: target.Load.Requests, PrefillTokens: target.Load.PrefillTokens, HeldTokens: target.Load.HeldTokens,
		})
	}
	var datagram bytes.Buffer
	encoder := msgpack.NewEncoder(&datagram)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(complete(wire, share)); err != nil {
		return nil, fmt.Errorf("encode load share: %w", err)
	}
	return datagram.Bytes(), nil
}

// Decode parses a datagram.
func Decode(datagram []byte) (mulberrybeam.LoadUpdate, error) {
	var wire wireShare
	if err := msgpack.Unmarshal(datagram, &wire); err != nil {
		return mulberrybeam.LoadUpdate{}, fmt.Errorf("decode load share: %w", err)
	}
	if wire.Version != version {
		return mulberrybeam.LoadUpdate{}, fmt.Errorf("load share has unsupported version %d", wire.Version)
	}
	share := mulberrybeam.LoadUpdate{From: mulberrybeam.ProcessID(wire.From), Sequence: wire.Sequence, Isolated: wire.Isolated}
	share.Incarnation, share.Streams, share.Fragile = wire.Incarnation, wire.streams(), wire.Fragile.targets()
	share.Shares = wire.Shares.update()
	var err error
	if share.Rollouts, err = wire.Rollouts.reports(); err != nil {
		return mulberrybeam.LoadUpdate{}, fmt.Errorf("load share from %q: %w", wire.From, err)
	}
	for _, load := range wire.Targets {
		if load.Requests < 0 || load.PrefillTokens < 0 || load.HeldTokens < 0 {
			return mulberrybeam.LoadUpdate{}, fmt.Errorf("load share from %q has a negative load", wire.From)
		}
		share.Targets = append(share.Targets, mulberrybeam.SharedLoad{
			Target: mulberrybeam.InstanceID(load.Target),
			Load:   mulberrybeam.TargetLoad{Requests: load.Requests, PrefillTokens: load.PrefillTokens, HeldTokens: load.HeldTokens},
		})
	}
	return share, nil
}
