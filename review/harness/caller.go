//go:build review

package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// RouteHost is the host name of all routes.
const RouteHost = "pule25.example"

// Names of headers.
const (
	HeaderRequestID = "Mulberrybeam-Request-Id"
	HeaderStamp     = "Mulberrybeam-Response-Stamp"
	HeaderLeaving   = "Server-Leaving"

	headerDeadline = "Mulberrybeam-Request-Deadline"
	headerModel    = "Mulberrybeam-Model"
	headerUsage    = "Mulberrybeam-Token-Usage"
	headerPrefix   = "Mulberrybeam-Prompt-Prefix"
	headerKey      = "Api-Key"
	headerInstance = "Mulberrybeam-Expect-Instance"
	headerVersion  = "Mulberrybeam-Expect-Version"
	headerNotRun   = "Mulberrybeam-Not-Executed"
	headerTenant   = "Mulberrybeam-Tenant-Id"
	headerSalt     = "Mulberrybeam-Cache-Salt"
)

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request of a caller.
type Request struct {
	Host     *Host
	Method   string
	Path     string
	Key      string
	Deadline time.Duration
	Body     string
	// Model, Parts and OutputTokens are set for a prompt.
	Model        string
	Parts        []Part
	OutputTokens int
}

// Reply is what the caller got.
type Reply struct {
	ID     string
	SentAt time.Duration
	EndAt  time.Duration
	Status int
	Header http.Header
	Body   string
	// Err is set if no complete answer came.
	Err error

	close bool
}

// Caller sends requests over connections that it keeps.
type Caller struct {
	c      *Case
	client *http.Client
}

var lastRequest atomic.Uint64

// NewCaller returns a caller.
func (c *Case) NewCaller() *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
	c.onClose(transport.CloseIdleConnections)
	return &Caller{c: c, client: &http.Client{Transport: transport}}
}

// Send sends a request once and waits for the answer.
func (l *Caller) Send(request Request) Reply {
	reply := Reply{ID: fmt.Sprintf("%016x", 0x9c41d07b00000000+lastRequest.Add(1)), SentAt: l.c.Since()}
	reply.Err = l.exchange(request, &reply)
	reply.EndAt = l.c.Since()
	return reply
}

func (l *Caller) exchange(request Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.Deadline+500*time.Millisecond)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Host.Address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return err
	}
	sent.Host = RouteHost
	sent.Header.Set(HeaderRequestID, reply.ID)
	sent.Header.Set(headerDeadline, fmt.Sprint(request.Deadline.Milliseconds()))
	sent.Header.Set(headerKey, request.Key)
	if request.Model != "" {
		tokens, list := 0, make([]string, len(request.Parts))
		for i, part := range request.Parts {
			tokens += part.Tokens
			list[i] = fmt.Sprintf("%s:%d", part.ID, part.Tokens)
		}
		sent.Header.Set(headerModel, request.Model)
		sent.Header.Set(headerUsage, fmt.Sprintf("%d,%d", tokens, request.OutputTokens))
		sent.Header.Set(headerPrefix, strings.Join(list, ","))
	}
	response, err := l.client.Do(sent)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reply.Status, reply.Header, reply.close = response.StatusCode, response.Header, response.Close
	body, err := io.ReadAll(response.Body)
	reply.Body = string(body)
	return err
}

// String describes the reply in one line.
func (r Reply) String() string {
	took := (r.EndAt - r.SentAt).Round(time.Millisecond)
	if r.Err != nil {
		return fmt.Sprintf("request %s: no complete answer after %s, status %d: %v", r.ID, took, r.Status, r.Err)
	}
	return fmt.Sprintf("request %s: status %d after %s", r.ID, r.Status, took)
}

// Refused reports whether no process listened at the host's address.
func (r Reply) Refused() bool { return errors.Is(r.Err, syscall.ECONNREFUSED) }

// Closes reports whether the host closes the connection after the answer.
func (r Reply) Closes() bool { return r.close }
