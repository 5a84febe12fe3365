// Package logger writes timeline entries as structured log lines. It never
// blocks the goroutine that records an entry, and it limits the volume.
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
	// queueLength limits the entries that wait to be written.
	queueLength = 1024
	// maxLinesPerSecond limits the lines written. An entry host writes
	// about 200 lines a second at 60 requests a second.
	maxLinesPerSecond = 500
	// writeBufferSize is the size in bytes of the buffer that combines a
	// burst of lines into few writes.
	writeBufferSize = 4 << 10
)

// Logger writes timeline entries to a log. It is safe for concurrent use.
type Logger struct {
	entries chan mulberrybeam.Entry
	dropped atomic.Uint64
	done    chan struct{}
	log     *logrus.Logger
	out     *bufio.Writer
}

// New starts the goroutine that writes to out. The returned function writes the
// remaining entries and stops the goroutine; Observe must not be called after
// it.
func New(out io.Writer) (*Logger, func()) {
	buffered := bufio.NewWriterSize(out, writeBufferSize)
	log := logrus.New()
	log.SetOutput(lineWriter{buffered})
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	l := &Logger{entries: make(chan mulberrybeam.Entry, queueLength), done: make(chan struct{}), log: log, out: buffered}
	stop := make(chan struct{})
	go l.run(stop)
	return l, func() {
		close(stop)
		<-l.done
	}
}

// lineWriter flushes the buffer before a line that does not fit, so that no
// line is split between two writes.
type lineWriter struct{ out *bufio.Writer }

// Write buffers one line.
func (w lineWriter) Write(line []byte) (int, error) {
	if w.out.Available() < len(line) {
		if err := w.out.Flush(); err != nil {
			return 0, err
		}
	}
	return w.out.Write(line)
}

// Observe queues an entry, or counts it as dropped if the queue is full.
func (l *Logger) Observe(entry mulberrybeam.Entry) {
	select {
	case l.entries <- entry:
	default:
		l.dropped.Add(1)
	}
}

func (l *Logger) run(stop <-chan struct{}) {
	defer close(l.done)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	lines := 0
	for {
		select {
		case entry := <-l.entries:
			if lines++; lines > maxLinesPerSecond {
				l.dropped.Add(1)
				continue
			}
			l.write(entry)
		case <-ticker.C:
			lines = 0
			l.writeDropped()
			_ = l.out.Flush()
		case <-stop:
			l.drain()
			return
		}
	}
}

// drain writes all queued entries.
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
