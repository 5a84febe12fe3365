package replayer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/replayer"
)

// Guards against unbounded memory, and against a reader that continues after
// dropped tokens without noticing the gap.
func TestKeptTokensAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 10 << 10
	stream := replayer.New(replayer.Settings{MaxBytes: limit, Cancel: func() {}})
	changed := stream.Next(0, 1).Changed
	for i := range 100 {
		stream.Append(mulberrybeam.Token{Sequence: uint64(i + 1), Text: strings.Repeat("x", 1000)})
	}
	<-changed
	is.True(stream.Bytes() <= limit)
	is.True(stream.Next(50, 10).Gap)
	batch := stream.Next(97, 2)
	is.Equal([]uint64{batch.Tokens[0].Sequence, batch.Tokens[1].Sequence}, []uint64{98, 99})
	stream.Finish(nil)
	is.True(!stream.Next(97, 2).Done) // one token is left
	is.True(stream.Next(99, 2).Done)
	is.True(stream.Next(1000, 2).Done) // a position beyond the last token
}

// Guards against a run that is cancelled while it has a reader or after its end,
// and against one that continues without readers after the grace period.
func TestRunWithoutReadersIsCancelledAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{}, 9)
	settings := replayer.Settings{Grace: 20 * time.Millisecond, Cancel: func() { cancelled <- struct{}{} }}
	attached, finished, abandoned := replayer.New(settings), replayer.New(settings), replayer.New(settings)
	for _, stream := range []*replayer.Stream{attached, finished, abandoned} {
		stream.Attach()
		stream.Detach()
	}
	attached.Attach()
	finished.Finish(nil)
	<-cancelled
	time.Sleep(2 * settings.Grace)
	is.Equal(len(cancelled), 0) // only the abandoned run was cancelled
}

// Guards against a shutdown that ends before the caller of a broken stream can
// resume it, or that waits for a caller that already has the complete answer.
func TestAwaitReadWaitsForAReader(t *testing.T) {
	is := is.New(t)
	const grace = 50 * time.Millisecond
	unread := replayer.New(replayer.Settings{Grace: grace})
	begin := time.Now()
	unread.AwaitRead(t.Context())
	is.True(time.Since(begin) >= grace)
	read := replayer.New(replayer.Settings{Grace: time.Hour})
	go func() { read.MarkRead(); read.MarkRead() }()
	read.AwaitRead(t.Context())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	replayer.New(replayer.Settings{Grace: time.Hour}).AwaitRead(cancelled)
}
