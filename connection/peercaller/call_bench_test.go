package peercaller_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"mulberrybeam"
	"mulberrybeam/connection/peercaller"
)

// BenchmarkCall measures an exchange with the 54 members of a zone and the
// memory of an idle connection. Client and server share the process, so both
// results include both ends.
func BenchmarkCall(b *testing.B) {
	fleet := newAuthority(b)
	for _, options := range [][]peercaller.Option{nil, {peercaller.WithMutualTLS(fleet.issue(b), fleet.pool)}} {
		b.Run(fmt.Sprintf("tls=%v", options != nil), func(b *testing.B) {
			address := serve(b, func(context.Context, mulberrybeam.ProcessID, mulberrybeam.Message) (mulberrybeam.Message, error) {
				return mulberrybeam.ExchangeReply{Members: make([]mulberrybeam.Member, 27)}, nil
			}, options...)
			message := mulberrybeam.Exchange{From: "host-1/00000001", Zone: "z1"}
			for i := range 54 {
				message.Members = append(message.Members, mulberrybeam.Member{ID: mulberrybeam.ProcessID(fmt.Sprintf("%05d", i)), Heartbeat: 50_000})
			}
			before := memoryInUse()
			callers := make([]*peercaller.Caller, 100)
			for i := range callers {
				callers[i] = newCaller(b, options...)
				mustCall(b, callers[i], address, message)
			}
			perConnection := (memoryInUse() - before) / float64(len(callers))
			for b.Loop() {
				mustCall(b, callers[0], address, message)
			}
			b.ReportMetric(perConnection, "B/connection")
		})
	}
}

func mustCall(b *testing.B, caller *peercaller.Caller, address string, message mulberrybeam.Message) {
	if _, err := caller.Call(b.Context(), address, message); err != nil {
		b.Fatal(err)
	}
}

func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
