// Package logger writes the time line as structured log lines. Writing never
// blocks the goroutine that records, and the volume is bounded.
package logger

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulberrybeam"
)

const (
	// backlog bounds the entries that wait to be written.
	backlog = 1024
	// maxPerSecond bounds the lines. At 60 requests a second an entry host
	// writes about 200.
	maxPerSecond = 500
	// writeBuffer collects lines, so that a burst costs few writes.
	writeBuffer = 4 << 10
)

// Logger writes entries. Its methods may be called from any goroutine.
type Logger struct {
	entries chan mulberrybeam.Entry
	dropped atomic.Uint64
	done    chan struct{}
	log     *logrus.Logger
	out     *bufio.Writer
}

// New starts the goroutine that writes to out. The clean-up function writes
// what is left and stops it; no entry may be recorded after it.
func New(out io.Writer) (*Logger, func()) {
	buffered := bufio.NewWriterSize(out, writeBuffer)
	log := logrus.New()
	log.SetOutput(lineWriter{buffered})
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	l := &Logger{entries: make(chan mulberrybeam.Entry, backlog), done: make(chan struct{}), log: log, out: buffered}
	stop := make(chan struct{})
	go l.run(stop)
	return l, func() {
		close(stop)
		<-l.done
	}
}

// lineWriter keeps lines whole: the buffer is written out before a line that
// does not fit.
type lineWriter struct{ out *bufio.Writer }

// Write takes one line.
func (w lineWriter) Write(line []byte) (int, error) {
	if w.out.Available() < len(line) {
		if err := w.out.Flush(); err != nil {
			return 0, err
		}
	}
	return w.out.Write(line)
}

// Observe writes an entry, or counts it as dropped when too many wait.
func (l *Logger) Observe(entry mulberrybeam.Entry) {
	select {
	case l.entries <- entry:
	default:
		l.dropped.Add(1)
	}
}

func (l *Logger) run(stop <-chan struct{}) {
	defer close(l.done)
	second := time.NewTicker(time.Second)
	defer second.Stop()
	lines := 0
	for {
		select {
		case entry := <-l.entries:
			if lines++; lines > maxPerSecond {
				l.dropped.Add(1)
				continue
			}
			l.write(entry)
		case <-second.C:
			lines = 0
			l.writeDropped()
			_ = l.out.Flush()
		case <-stop:
			l.drain()
			return
		}
	}
}

func (l *Logger) drain() {
	for {
		select {
		case entry := <-l.entries:
			l.write(entry)
		default:
			l.writeDropped()
			_ = l.out.Flush()
			return
		}
	}
}

func (l *Logger) write(entry mulberrybeam.Entry) {
	fields := logrus.Fields{"event": string(entry.Kind)}
	if entry.Request != "" {
		fields["request"] = string(entry.Request)
	}
	if entry.Subject != "" {
		fields["subject"] = entry.Subject
	}
	if entry.Code != "" {
		fields["code"] = string(entry.Code)
	}
	l.log.WithFields(fields).Info(entry.Text)
}

func (l *Logger) writeDropped() {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.log.WithField("lines", dropped).Warn("log lines dropped")
	}
}
