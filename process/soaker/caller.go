package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
// request. The path selects the route.
var requestKinds = []struct {
	kind RequestKind
	path string
}{
	{KindAtMostOnce, "/once/"}, {KindRepeatable, "/again/"}, {KindStream, backend.StreamPath},
}

// sendRequests sends requests to random hosts over keep-alive connections until
// ctx is canceled.
func (r *run) sendRequests(ctx context.Context, number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	random := r.random(fmt.Sprint("caller ", number))
	for i := 0; ctx.Err() == nil; i++ {
		kind := requestKinds[random.IntN(len(requestKinds))]
		result := Result{
			Request: fmt.Sprintf("%x-%d-%d", r.seed, number, i), Kind: kind.kind,
			Key: keys[random.IntN(len(keys))], Host: r.hosts[random.IntN(len(r.hosts))].name,
			Timeout: timeouts[random.IntN(len(timeouts))],
		}
		sendRequest(ctx, client, r.hostByName(result.Host).callerAddress+kind.path, &result)
		r.withLock(func() { r.history.Results = append(r.history.Results, result) })
		r.pause(time.Duration(random.Int64N(int64(callPause))))
	}
}

// sendRequest sends one request and records its response in result.
func sendRequest(ctx context.Context, client *http.Client, url string, result *Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), result.Timeout+time.Second)
	defer cancel()
	defer func() { result.EndedAt = time.Now() }()
	result.SentAt = time.Now()
	// Every request has its own body, because a body that was in flight during
	// several target crashes is refused permanently.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, strings.NewReader(result.Request))
	if err != nil {
		return
	}
	request.Host = routeHost
	request.Header.Set(backend.HeaderRequestID, result.Request)
	request.Header.Set(backend.HeaderAPIKey, result.Key)
	request.Header.Set(backend.HeaderDeadline, fmt.Sprint(result.Timeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	if result.Kind == KindStream && response.StatusCode == http.StatusOK {
		result.Events, result.Complete = readEvents(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	result.Body, result.Complete = string(body), err == nil
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
