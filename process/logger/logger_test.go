package logger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/logger"
)

// slowWriter is an output that delays each write.
type slowWriter struct {
	mutex  sync.Mutex
	delay  time.Duration
	buffer bytes.Buffer
}

func (s *slowWriter) Write(line []byte) (int, error) {
	time.Sleep(s.delay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.Write(line)
}

// Guards against a line without the fields that operators search for.
func TestLineFields(t *testing.T) {
	is := is.New(t)
	out := &slowWriter{}
	log, stop := logger.New(out)
	log.Observe(mulberrybeam.Entry{Kind: mulberrybeam.EntryRefusal, Request: "r1", Subject: "i-1", Code: mulberrybeam.CodeTimeout, Text: "late"})
	stop()
	var line map[string]string
	is.NoErr(json.Unmarshal(out.buffer.Bytes(), &line))
	is.Equal(line["request"], "r1")
	is.Equal(line["subject"], "i-1")
	is.Equal(line["event"], "refusal")
	is.Equal(line["code"], "timeout")
	is.Equal(line["msg"], "late")
}

// Guards against a slow output that blocks requests, and against lines that are
// dropped without a warning.
func TestSlowOutputNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &slowWriter{delay: 20 * time.Millisecond}
	log, stop := logger.New(out)
	begin := time.Now()
	for range 20000 {
		log.Observe(mulberrybeam.Entry{Kind: mulberrybeam.EntryRoute, Text: strings.Repeat("x", 200)})
	}
	is.True(time.Since(begin) < time.Second)
	stop()
	is.True(strings.Contains(out.buffer.String(), "log lines dropped"))
	is.True(strings.Count(out.buffer.String(), "\n") < 20000)
}
