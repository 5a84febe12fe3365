package propagationencoder_test

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/propagationencoder"
)

func answer() mulberrybeam.PropagationAnswer {
	return mulberrybeam.PropagationAnswer{ID: 7, States: []mulberrybeam.PropagationState{{
		Kind: mulberrybeam.ObjectTarget, Status: mulberrybeam.StatusCurrent, Since: "10", Next: "12", Offset: -1500 * time.Microsecond,
		Changes: []mulberrybeam.ObjectChanged{
			{Object: mulberrybeam.Object{Kind: mulberrybeam.ObjectTarget, Name: "i-1", Version: "11", Data: []byte(`{"service":"s"}`)}},
			{Object: mulberrybeam.Object{Kind: mulberrybeam.ObjectTarget, Name: "i-2", Version: "12", Data: []byte{}}, Deleted: true},
		},
	}}}
}

// Guards against fields that are lost or mixed up on the way.
func TestMessagesArriveAsSent(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	ask := mulberrybeam.PropagationAsk{ID: 3, From: "front-1", Cursors: []mulberrybeam.PropagationCursor{
		{Kind: mulberrybeam.ObjectLease, Version: "5", Probe: true},
	}}
	is.NoErr(propagationencoder.WriteAsk(&buffer, ask))
	is.NoErr(propagationencoder.WriteAnswer(&buffer, answer()))
	readAsk, err := propagationencoder.ReadAsk(&buffer)
	is.NoErr(err)
	is.Equal(readAsk, ask)
	readAnswer, err := propagationencoder.ReadAnswer(&buffer)
	is.NoErr(err)
	is.Equal(readAnswer, answer())
}

// Guards against a confirmation that seems to be later than it was.
func TestOffsetIsRoundedDown(t *testing.T) {
	is := is.New(t)
	for _, offset := range []time.Duration{-1500, -1, 0, 1, 1500} {
		sent := answer()
		sent.States[0].Offset = offset
		var buffer bytes.Buffer
		is.NoErr(propagationencoder.WriteAnswer(&buffer, sent))
		read, err := propagationencoder.ReadAnswer(&buffer)
		is.NoErr(err)
		is.True(read.States[0].Offset <= offset && read.States[0].Offset > offset-time.Microsecond)
	}
}

// Guards against a message that is encoded as a whole before it proves too large.
func TestLargeMessageIsNotEncodedAsAWhole(t *testing.T) {
	is := is.New(t)
	large := answer()
	large.States[0].Changes[0].Object.Data = make([]byte, 1<<20)
	for range 1000 {
		large.States[0].Changes = append(large.States[0].Changes, large.States[0].Changes[0])
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	is.True(propagationencoder.WriteAnswer(io.Discard, large) != nil)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 16<<20)
}

// Guards against memory for many small elements of a short message.
func TestListsAreLimited(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	is.NoErr(propagationencoder.WriteAsk(&buffer, mulberrybeam.PropagationAsk{Cursors: make([]mulberrybeam.PropagationCursor, 1000)}))
	_, err := propagationencoder.ReadAsk(&buffer)
	is.True(err != nil)
}

// Guards against a crash, or memory for what a message only announces.
func FuzzRead(f *testing.F) {
	var buffer bytes.Buffer
	_ = propagationencoder.WriteAnswer(&buffer, answer())
	f.Add(buffer.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 0x93, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = propagationencoder.ReadAsk(bytes.NewReader(data))
		_, _ = propagationencoder.ReadAnswer(bytes.NewReader(data))
	})
}

// BenchmarkExchange measures both ends of one ask for seven kinds without changes,
// apart from the system calls.
func BenchmarkExchange(b *testing.B) {
	var ask mulberrybeam.PropagationAsk
	var reply mulberrybeam.PropagationAnswer
	for _, kind := range []mulberrybeam.ObjectKind{"deployment", "target", "evacuation", "weights", "entry-host", "duty-lease", "crash"} {
		ask.Cursors = append(ask.Cursors, mulberrybeam.PropagationCursor{Kind: kind, Version: "1234567"})
		reply.States = append(reply.States, mulberrybeam.PropagationState{Kind: kind, Since: "1234567", Next: "1234567", Offset: -time.Second})
	}
	var buffer bytes.Buffer
	for b.Loop() {
		_ = propagationencoder.WriteAsk(&buffer, ask)
		_, _ = propagationencoder.ReadAsk(&buffer)
		_ = propagationencoder.WriteAnswer(&buffer, reply)
		_, _ = propagationencoder.ReadAnswer(&buffer)
	}
}
