package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
)

// cutAnswer is a target that closes its connection after some bytes of its answer.
type cutAnswer struct {
	bytes string
	reset bool
	// early answers before the body of the request was read, and leaves it unread.
	early bool
}

func (c cutAnswer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !c.early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, c.bytes)
	if c.early {
		time.Sleep(10 * time.Millisecond) // until the answer was read
	}
	if c.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// listen returns the address at which the target accepts connections.
func (c cutAnswer) listen(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer that a target broke off, at any byte of its head or body,
// and that reaches the caller as a complete success.
func TestAnswerCutAtAnyByteIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: r1\r\nMulberrybeam-Response-Stamp: s\r\n"
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	for name, test := range map[string]struct {
		rule         mulberrybeam.Rule
		answer, body string
		// mayEnd reports whether an answer without length that ends after these bytes
		// of the body may be complete.
		mayEnd func(body string) bool
	}{
		"length":         {rule: onceRule, answer: head + "Content-Length: 12\r\n\r\nhello, world", body: "hello, world"},
		"length, first":  {rule: onceRule, answer: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nMulberrybeam-Request-Id: r1\r\nMulberrybeam-Response-Stamp: s\r\n\r\nhello, world", body: "hello, world"},
		"chunks":         {rule: onceRule, answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", body: "hello, world"},
		"line feeds":     {rule: onceRule, answer: strings.ReplaceAll(head, "\r", "") + "Content-Length: 12\n\nhello, world", body: "hello, world"},
		"stream, length": {rule: streamRule, answer: head + "Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n" + events, body: events},
		"stream, chunks": {rule: streamRule, answer: head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + events[:15] + "\r\nf\r\n" + events[15:] + "\r\n0\r\n\r\n", body: events},
		"once stream, chunks": {
			rule:   mulberrybeam.Rule{Guarantee: mulberrybeam.GuaranteeAtMostOnce, MaxAttempts: 1, Timeout: streamRule.Timeout, LatencyGoal: streamRule.LatencyGoal, Streaming: true},
			answer: head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + events[:15] + "\r\nf\r\n" + events[15:] + "\r\n0\r\n\r\n", body: events,
		},
		"connection": {rule: onceRule, answer: head + "\r\nhello, world", body: "hello, world", mayEnd: func(string) bool { return true }},
		"stream, connection": {
			rule: streamRule, answer: head + "Content-Type: text/event-stream\r\n\r\n" + events, body: events,
			mayEnd: func(body string) bool { return body == "" || strings.HasSuffix(body, "\n\n") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for length := range len(test.answer) + 1 {
				for _, reset := range []bool{false, true} {
					if reset && length == len(test.answer) {
						continue
					}
					_, body, headEnded := strings.Cut(test.answer[:length], "\r\n\r\n")
					if !reset && headEnded && test.mayEnd != nil && test.mayEnd(body) && body != test.body {
						continue
					}
					is := is.New(t)
					rule := test.rule
					rule.MaxAttempts = 1
					h := newHarness(t, rule, respondsStamped(""))
					fleet := *h.fleet.Load()
					fleet.Targets["s"][0].Address = cutAnswer{bytes: test.answer[:length], reset: reset}.listen(t)
					h.fleet.Store(&fleet)
					result := h.call(nil)
					if length == len(test.answer) {
						is.NoErr(result.err)
						is.Equal(result.status, http.StatusOK)
						is.Equal(result.body, test.body)
						continue
					}
					if result.err == nil && result.status < 300 {
						t.Errorf("cut after %q, reset %t: status %d, body %q", test.answer[:length], reset, result.status, result.body)
					}
				}
			}
		})
	}
}

// Guards against an answer without a length that a target sent while the upload was
// still being written, and whose part before a reset reaches the caller as a success.
func TestAnswerResetDuringUploadIsNoSuccess(t *testing.T) {
	const (
		rounds      = 10
		uploadBytes = 8 << 20
		head        = "HTTP/1.1 200 OK\r\nMulberrybeam-Request-Id: r1\r\nMulberrybeam-Response-Stamp: s\r\n"
		streamHead  = head + "Content-Type: text/event-stream\r\n"
		events      = "id: 1\ndata: x\n\n"
	)
	onceStream := streamRule
	onceStream.Guarantee, onceStream.Resumable = mulberrybeam.GuaranteeAtMostOnce, false
	for name, test := range map[string]struct {
		rule   mulberrybeam.Rule
		answer string
		// status is that of the answer that the caller gets, complete says whether its
		// body is, and runs counts the attempts after the first.
		status   int
		complete bool
		runs     int
	}{
		"once":               {onceRule, head + "\r\npart", http.StatusBadGateway, true, 0},
		"repeatable":         {repeatableRule, head + "\r\npart", http.StatusOK, true, 1},
		"once, larger":       {onceRule, head + "\r\n" + strings.Repeat("part", 32<<10), http.StatusOK, false, 0},
		"once, stream":       {onceStream, streamHead + "\r\n" + events, http.StatusOK, false, 0},
		"resumable stream":   {streamRule, streamHead + "\r\n" + events, http.StatusOK, true, 1},
		"once, with length":  {onceRule, head + "Content-Length: 5\r\n\r\nwhole", http.StatusOK, true, 0},
		"once, failed early": {onceRule, strings.Replace(head, "200 OK", "500 Failed", 1) + "\r\npart", http.StatusBadGateway, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range rounds {
				is := is.New(t)
				whole := respondsStamped("whole")
				if test.rule.Streaming {
					whole = withContentType("text/event-stream", resumesStream)
				}
				rule := test.rule
				rule.Timeout = 10 * time.Second
				h := newHarness(t, rule, respondsStamped(""), whole)
				fleet := *h.fleet.Load()
				deployment := *fleet.Deployment
				deployment.Limits.MaxBodyBytes = uploadBytes
				fleet.Deployment = &deployment
				fleet.Targets["s"][0].Address = cutAnswer{bytes: test.answer, reset: true, early: true}.listen(t)
				h.fleet.Store(&fleet)
				got := h.send(strings.Repeat("x", uploadBytes), nil)
				is.Equal(got.err == nil, test.complete)
				is.Equal(got.status, test.status)
				is.Equal(h.requestCount(), test.runs)
			}
		})
	}
}

// Guards against an answer with an invalid status that reaches the caller, or whose body
// is taken for the answer.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	const (
		fields = "Mulberrybeam-Request-Id: r1\r\nMulberrybeam-Response-Stamp: s\r\n"
		sound  = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nfirst"
	)
	for name, test := range map[string]struct {
		answer string
		valid  bool
	}{
		"000":                         {answer: "HTTP/1.1 000 X\r\n" + fields + "Content-Length: 5\r\n\r\nfirst"},
		"000, without length":         {answer: "HTTP/1.1 000 X\r\n" + fields + "\r\nfirst"},
		"000, not executed":           {answer: "HTTP/1.1 000 X\r\n" + fields + "Mulberrybeam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		"000, body that is an answer": {answer: "HTTP/1.1 000 X\r\n" + fields + "\r\n" + sound},
		"000, then an answer":         {answer: "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + sound},
		"099, then an answer":         {answer: "HTTP/1.1 099 X\r\n\r\n" + sound},
		"101, then an answer":         {answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound},
		"600":                         {answer: "HTTP/1.1 600 X\r\n" + fields + "Content-Length: 5\r\n\r\nfirst"},
		"999":                         {answer: "HTTP/1.1 999 X\r\n" + fields + "Content-Length: 5\r\n\r\nfirst"},
		"interim, then an answer":     {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + sound, valid: true},
	} {
		for _, rule := range []mulberrybeam.Rule{onceRule, repeatableRule} {
			t.Run(name+", "+string(rule.Guarantee), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, rule, respondsStamped(""), respondsStamped("second"))
				fleet := *h.fleet.Load()
				fleet.Targets["s"][0].Address = cutAnswer{bytes: test.answer}.listen(t)
				h.fleet.Store(&fleet)
				got := h.call(nil)
				is.NoErr(got.err)
				switch {
				case test.valid:
					is.Equal(got.body, "first")
				case rule.Idempotent():
					is.Equal(got.body, "second")
				default:
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(h.requestCount(), 0) // it may have run
				}
			})
		}
	}
}
