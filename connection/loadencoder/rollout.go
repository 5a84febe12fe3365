package loadencoder

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrybeam"
)

const (
	// maxRollouts and maxCounts limit what a datagram may hold.
	maxRollouts = 16
	maxCounts   = 128
)

// wireShareWithoutRollouts is the form of a datagram without rollouts and streams, which
// hosts of earlier versions send and read.
type wireShareWithoutRollouts struct {
	Version  int
	From     string
	Sequence uint64
	Targets  wireLoads
}

// wireShareWithoutIsolation is the form of a datagram of a host that reaches targets, none
// of which is fragile.
type wireShareWithoutIsolation struct {
	Version     int
	From        string
	Sequence    uint64
	Targets     wireLoads
	Incarnation uint64
	Rollouts    wireReports
	Run         uint64
	Streams     wireStreamShares
}

// wireReport is the encoded form of a mulberrybeam.RolloutReport.
type wireReport struct {
	Service string
	Order   uint64
	Drained int
	Bad     bool
	Counts  wireCounts
}

// wireCount is the encoded form of mulberrybeam.RolloutCounts. FirstResponse ends
// with the last bucket that is not empty.
type wireCount struct {
	Route         string
	New           bool
	Streaming     bool
	Responses     uint64
	Failures      uint64
	FirstResponse wireBuckets
	Target        string
}

type (
	wireReports []wireReport
	wireCounts  []wireCount
	wireBuckets []uint64
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *wireReports) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxRollouts, (*[]wireReport)(r))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *wireCounts) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, maxCounts, (*[]wireCount)(c))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *wireBuckets) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decodeList(decoder, mulberrybeam.LatencyBuckets, (*[]uint64)(b))
}

// decodeList decodes the elements of a list one by one, like wireLoads.
func decodeList[T any](decoder *msgpack.Decoder, limit int, list *[]T) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > limit {
		return fmt.Errorf("%d elements are more than %d", count, limit)
	}
	for range count {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		*list = append(*list, element)
	}
	return nil
}

// complete returns the value to encode for a datagram.
func complete(wire wireShare, share mulberrybeam.LoadUpdate) any {
	if len(share.Rollouts) == 0 && share.Streams.Run == 0 && len(share.Fragile) == 0 && !share.Isolated && isEmpty(share.Shares) {
		return &wireShareWithoutRollouts{wire.Version, wire.From, wire.Sequence, wire.Targets}
	}
	wire.Incarnation = share.Incarnation
	for _, report := range share.Rollouts[:min(len(share.Rollouts), maxRollouts)] {
		encoded := wireReport{Service: string(report.Service), Order: report.Order, Drained: int(report.Drained), Bad: report.Bad}
		for _, counts := range report.Counts[:min(len(report.Counts), maxCounts)] {
			encoded.Counts = append(encoded.Counts, wireCount{
				counts.Route, counts.New, counts.Streaming, counts.Responses, counts.Failures, trim(counts.FirstResponse), string(counts.Target),
			})
		}
		wire.Rollouts = append(wire.Rollouts, encoded)
	}
	addStreams(&wire, share.Streams)
	addFragile(&wire, share.Fragile)
	wire.Shares = encodeShares(share.Shares)
	if share.Isolated || len(share.Fragile) > 0 || !isEmpty(share.Shares) {
		return &wire
	}
	return &wireShareWithoutIsolation{
		wire.Version, wire.From, wire.Sequence, wire.Targets, wire.Incarnation, wire.Rollouts, wire.Run, wire.Streams,
	}
}

func trim(buckets [mulberrybeam.LatencyBuckets]uint64) []uint64 {
	end := len(buckets)
	for end > 0 && buckets[end-1] == 0 {
		end--
	}
	return buckets[:end]
}

// reports returns the reports of a datagram, or an error if a count is impossible.
func (r wireReports) reports() ([]mulberrybeam.RolloutReport, error) {
	var reports []mulberrybeam.RolloutReport
	for _, wire := range r {
		report := mulberrybeam.RolloutReport{
			Service: mulberrybeam.ServiceName(wire.Service), Order: wire.Order, Drained: mulberrybeam.RolloutStage(wire.Drained), Bad: wire.Bad,
		}
		for _, counts := range wire.Counts {
			if counts.Failures > counts.Responses {
				return nil, fmt.Errorf("%d failures of %d responses", counts.Failures, counts.Responses)
			}
			decoded := mulberrybeam.RolloutCounts{
				Route: counts.Route, New: counts.New, Streaming: counts.Streaming, Responses: counts.Responses, Failures: counts.Failures,
				Target: mulberrybeam.InstanceID(counts.Target),
			}
			copy(decoded.FirstResponse[:], counts.FirstResponse)
			report.Counts = append(report.Counts, decoded)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. The library rejects a struct
// whose number of fields differs, so that it could not read a datagram without
// rollouts, or one of a later version.
func (s *wireShare) DecodeMsgpack(decoder *msgpack.Decoder) error {
	const requiredFields = 4
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count < requiredFields {
		return fmt.Errorf("%d fields are too few", count)
	}
	fields := []any{&s.Version, &s.From, &s.Sequence, &s.Targets, &s.Incarnation, &s.Rollouts, &s.Run, &s.Streams, &s.Isolated, &s.Fragile, &s.Shares}
	for i := range count {
		if i >= len(fields) {
			err = decoder.Skip()
		} else {
			err = decoder.Decode(fields[i])
		}
		if err != nil {
			return err
		}
	}
	return nil
}
