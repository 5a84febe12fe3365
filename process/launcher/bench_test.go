package launcher_test

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/fleet"
)

// BenchmarkRequest sends prompts of several lengths through an entry process
// and reports the CPU time per request. The simulated engine and the client run
// in the same operating-system process, so the figure is an upper bound.
func BenchmarkRequest(b *testing.B) {
	layout := fleet.DefaultLayout()
	layout.Zones = layout.Zones[:1]
	layout.EntriesPerZone = 1
	layout.Engine = func(s *engine.Settings) {
		s.PrefillRate, s.TokenTime, s.BatchTime, s.StartCold = 1e9, 10*time.Microsecond, 0, false
	}
	running, stop, err := fleet.Start(layout)
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	if err := running.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	for _, tokens := range []int{1, 100, 1000} {
		for _, length := range []int{1 << 10, 64 << 10} {
			b.Run(fmt.Sprintf("tokens=%d/prompt-bytes=%d", tokens, length), func(b *testing.B) {
				begin, count := processorTime(), 0
				for b.Loop() {
					count++
					body := fleet.PromptBody(strings.Repeat("x", length), tokens)
					answer, err := fleet.Ask(b.Context(), running.Entries[0], fleet.FirstWorkspace, body)
					if err == nil {
						err = answer.Check(body, tokens)
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((processorTime()-begin).Seconds()*1e6/float64(count), "cpu-us/op")
			})
		}
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
