package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"mulberrybeam/process/standin/backend"
)

const (
	// callers is the number of concurrent callers. Each waits for up to
	// callPause between two requests.
	callers   = 12
	callPause = 60 * time.Millisecond
	// maxTimeout is the timeout of the routes.
	maxTimeout = 5 * time.Second
)

// timeouts lists the deadlines of requests. The longer one exceeds all silences of
// targets.
var timeouts = []time.Duration{2 * time.Second, maxTimeout}

// requestKinds lists the request kinds, one of which is chosen at random for each
// request.
var requestKinds = []RequestKind{KindAtMostOnce, KindRepeatable, KindStream}

// promptPath is the path of streams that answer a prompt.
const promptPath = backend.StreamPath + "prompt/"

// partTokens and outputTokens are the stated lengths of each part of a prompt and
// of its response.
const (
	partTokens   = 100
	outputTokens = backend.EventsPerStream
)

// path returns the path of the request, which selects the route.
func (r *Result) path() string {
	switch {
	case r.Kind == KindAtMostOnce:
		return "/once/"
	case r.Kind == KindRepeatable:
		return "/again/"
	case len(r.Parts) > 0:
		return promptPath
	}
	return backend.StreamPath
}

// newResult returns a request of a random kind to a random host.
func (r *run) newResult(random *rand.Rand, id string) Result {
	return Result{
		Request: id, Kind: requestKinds[random.IntN(len(requestKinds))],
		Key: keys[random.IntN(len(keys))], Host: r.hosts[random.IntN(len(r.hosts))].name,
		Timeout: timeouts[random.IntN(len(timeouts))],
	}
}

// sendRequests sends requests to random hosts over keep-alive connections until
// ctx is canceled.
func (r *run) sendRequests(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	random := r.random(fmt.Sprint("caller ", number))
	for i := 0; ctx.Err() == nil; i++ {
		result := r.newResult(random, fmt.Sprintf("%x-%d-%d", r.seed, number, i))
		sendRequest(ctx, client, r.hostByName(result.Host).callerAddress, &result)
		r.withLock(func() { r.history.Results = append(r.history.Results, result) })
		r.pause(time.Duration(random.Int64N(int64(callPause))))
	}
}

// sendRequest sends one request and records its response in result.
func sendRequest(ctx context.Context, client *http.Client, address string, result *Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), result.Timeout+time.Second)
	defer cancel()
	defer func() { result.EndedAt = time.Now() }()
	result.SentAt = time.Now()
	// Every request has its own body, because a body that was in flight during
	// several target crashes is refused permanently.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+result.path(), strings.NewReader(result.Request))
	if err != nil {
		return
	}
	request.Host = routeHost
	request.Header.Set(backend.HeaderRequestID, result.Request)
	request.Header.Set(backend.HeaderAPIKey, result.Key)
	request.Header.Set(backend.HeaderDeadline, fmt.Sprint(result.Timeout.Milliseconds()))
	if len(result.Parts) > 0 {
		request.Header.Set(backend.HeaderModel, "m")
		request.Header.Set(backend.HeaderTokenUsage, fmt.Sprintf("%d,%d", partTokens*len(result.Parts), outputTokens))
		request.Header.Set(backend.HeaderPromptParts, strings.Join(result.Parts, fmt.Sprintf(":%d,", partTokens))+fmt.Sprintf(":%d", partTokens))
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	result.readResponse(response)
}

// readResponse records a response.
func (r *Result) readResponse(response *http.Response) {
	r.Status = response.StatusCode
	if r.Kind == KindStream && response.StatusCode == http.StatusOK {
		r.Events, r.Complete = readEvents(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	r.Body, r.Complete = string(body), err == nil
}

// readEvents returns the data of all complete server-sent events, and whether
// the stream ended without a read error.
func readEvents(body io.Reader) ([]string, bool) {
	var events []string
	data := ""
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case found:
			data = text
		case lines.Text() == "" && data != "":
			events, data = append(events, data), ""
		}
	}
	return events, lines.Err() == nil
}
