package reserver_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/process/reserver"
)

var limits = reserver.Limits{
	Total: 1000, SmallReserve: 200, SmallSize: 50, WorkspaceShare: 0.6, StallAfter: time.Second, MinRate: 10,
}

// open opens a holder and requires that it gets the bytes.
func open(t *testing.T, l *reserver.Ledger, now time.Duration, workspace mulberrybeam.WorkspaceName, bytes int64) reserver.HolderID {
	t.Helper()
	id := l.Open(now, workspace)
	if verdict := l.Grow(now, id, bytes); !verdict.Granted {
		t.Fatalf("%d bytes are refused: %s", bytes, verdict.Reason)
	}
	return id
}

// Guards against a total that is exceeded, and against bytes that stay reserved after
// their holders have ended, under any sequence of operations.
func TestLedgerKeepsItsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := reserver.NewLedger(limits)
		now := time.Duration(0)
		var ids []reserver.HolderID
		pick := func() reserver.HolderID {
			if len(ids) == 0 {
				return 0
			}
			return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "holder")]
		}
		for range rapid.IntRange(0, 200).Draw(t, "operations") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			bytes := int64(rapid.IntRange(0, 400).Draw(t, "bytes"))
			switch rapid.IntRange(0, 6).Draw(t, "operation") {
			case 0, 1:
				ids = append(ids, l.Open(now, mulberrybeam.WorkspaceName(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"))))
			case 2, 3:
				before := l.Held()
				verdict := l.Grow(now, pick(), bytes)
				if !verdict.Granted && (l.Held() != before || verdict.Reason == "" || verdict.RetryAfter <= 0) {
					t.Fatalf("refusal %+v, %d bytes held, %d before", verdict, l.Held(), before)
				}
			case 4:
				l.Shrink(pick(), bytes)
			case 5:
				l.Progress(now, pick(), bytes)
			case 6:
				l.Close(pick())
			}
			if l.Held() < 0 || l.Held() > limits.Total {
				t.Fatalf("%d bytes held, total %d", l.Held(), limits.Total)
			}
		}
		for _, id := range ids {
			l.Close(id)
		}
		if l.Held() != 0 || l.Holders() != 0 {
			t.Fatalf("%d bytes and %d holders remain", l.Held(), l.Holders())
		}
	})
}

// Load: one key sends large bodies until nothing is left. Small requests of another key
// must still find room, and large ones of the first must not.
func TestSmallRequestsFindRoomBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	l := reserver.NewLedger(limits)
	open(t, l, 0, "a", 400)
	large := l.Open(0, "a")
	verdict := l.Grow(0, large, 100)
	is.Equal(verdict.Granted, false)
	is.Equal(verdict.Reason, reserver.ReasonWorkspace)
	open(t, l, 0, "b", 390)
	verdict = l.Grow(0, l.Open(0, "c"), 100)
	is.Equal(verdict.Granted, false)
	is.Equal(verdict.Reason, reserver.ReasonTotal)
	for range 4 {
		open(t, l, 0, "c", 50)
	}
	is.Equal(l.Held(), int64(990))
}

// Load: callers stop just short of the end of their bodies and stay open. They must give
// way to others, largest first and no more than needed, and only once they have stalled.
func TestStalledCallersGiveWay(t *testing.T) {
	is := is.New(t)
	l := reserver.NewLedger(limits)
	small, largest := open(t, l, 0, "a", 60), open(t, l, 0, "a", 340)
	settled := open(t, l, 0, "b", 380)
	is.True(l.Settle(settled))
	newcomer := l.Open(900*time.Millisecond, "c")
	verdict := l.Grow(900*time.Millisecond, newcomer, 100)
	is.Equal(verdict, reserver.Verdict{Reason: reserver.ReasonTotal, RetryAfter: 300 * time.Millisecond})
	verdict = l.Grow(time.Second, newcomer, 100)
	is.Equal(verdict.Evict, []reserver.HolderID{largest})
	is.Equal(l.Settle(largest), false) // it was told to give way before it had sent all
	is.True(l.Settle(small))
	is.Equal(len(l.Grow(time.Second, newcomer, 100).Evict), 0) // its bytes are awaited
	l.Close(largest)
	is.True(l.Grow(time.Second, newcomer, 100).Granted)
}

// Load: callers send a byte now and then, so that they never stall for long.
func TestTricklingCallersGiveWay(t *testing.T) {
	is := is.New(t)
	l := reserver.NewLedger(limits)
	trickling, steady := open(t, l, 0, "a", 400), open(t, l, 0, "b", 390)
	now := time.Duration(0)
	for range 20 {
		now += 100 * time.Millisecond
		l.Progress(now, trickling, 0)
		l.Progress(now, steady, 1)
	}
	verdict := l.Grow(now, l.Open(now, "c"), 100)
	is.Equal(verdict.Evict, []reserver.HolderID{trickling})
}

// Guards against a request that is refused although room becomes free at once, one that
// waits without end, and an interrupted caller that is not told.
func TestGrowWaitsForRoom(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	var lines []string
	r := reserver.New(limits, func() time.Duration { return time.Since(start) }, func(text string) { lines = append(lines, text) })
	interrupted := make(chan struct{})
	first := r.Open("a", func() { close(interrupted) })
	is.NoErr(first.Grow(t.Context(), 450))
	silentSince := time.Now()
	second := r.Open("b", func() {})
	is.NoErr(second.Grow(t.Context(), 340))
	is.True(second.Settle())
	third := r.Open("c", func() {})
	err := third.Grow(t.Context(), 100)
	var failure *mulberrybeam.Failure
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, mulberrybeam.CodeOverloaded)
	is.True(failure.NotRun && failure.RetryAfter > 0)
	time.AfterFunc(20*time.Millisecond, second.Close)
	is.NoErr(third.Grow(context.Background(), 100))
	is.Equal(r.Stats(), reserver.Stats{HeldBytes: 550, Holders: 2, Refused: 1})
	is.Equal(len(lines), 1)
	time.Sleep(time.Until(silentSince.Add(limits.StallAfter)))
	is.True(r.EvictStalled())
	<-interrupted
	first.Close()
	third.Close()
	is.Equal(r.Stats(), reserver.Stats{Refused: 1, Evicted: 1})
}

// Guards against defaults that a legal request cannot meet: on the smallest host of a
// deployment, with 136 MB, a chunked body of 4 MB needs one and a half times its size.
func TestDefaultsServeTheLargestBody(t *testing.T) {
	for _, megabytes := range []int64{64, 136, 536} {
		t.Run(fmt.Sprint(megabytes, " MB"), func(t *testing.T) {
			is := is.New(t)
			l := reserver.NewLedger(reserver.DefaultLimits(megabytes << 20))
			id := l.Open(0, "a")
			is.True(l.Grow(0, id, 128<<10).Granted)
			is.True(l.Grow(0, id, 2<<20).Granted)
			is.True(l.Grow(0, id, 4<<20).Granted)
		})
	}
}
