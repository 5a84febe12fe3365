package starter_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// errGone is returned to callers that open a connection to a host which the
// platform has taken out of rotation.
var errGone = errors.New("host is out of rotation")

// rotationDelay is how long the platform still sends new connections to a host
// that is not ready: it probes every second and takes a host out after two
// failed probes.
const rotationDelay = 2200 * time.Millisecond

// rotation says whether the platform still opens connections to a host.
type rotation struct {
	mutex sync.Mutex
	until time.Time
}

func (r *rotation) takeOutAfter(delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.until = time.Now().Add(delay)
}

func (r *rotation) dial(ctx context.Context, network, address string) (net.Conn, error) {
	r.mutex.Lock()
	gone := !r.until.IsZero() && time.Now().After(r.until)
	r.mutex.Unlock()
	if gone {
		return nil, errGone
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// slowBody is a request body whose second half arrives late.
type slowBody struct {
	parts []string
	delay time.Duration
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if len(b.parts) == 1 {
		time.Sleep(b.delay)
	}
	n := copy(buffer, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// outcomes counts the answers that callers got.
type outcomes struct {
	mutex    sync.Mutex
	answered int
	failures []string
}

func (o *outcomes) record(failure string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if failure == "" {
		o.answered++
		return
	}
	o.failures = append(o.failures, failure)
}

// callUntilGone sends requests one after the other until the host is out of
// rotation. Without keepAlive, each has a connection of its own.
func (h *harness) callUntilGone(name string, keepAlive bool, bodyDelay time.Duration, r *rotation, result *outcomes) {
	transport := &http.Transport{DialContext: r.dial, DisableKeepAlives: !keepAlive}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ; i++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+h.settings.CallerAddress+"/patient/", &slowBody{parts: []string{"first half ", "second half"}, delay: bodyDelay})
		if err != nil {
			result.record(err.Error())
			return
		}
		request.Host = "h"
		request.Header.Set("Api-Key", "k")
		request.Header.Set("Mulberrybeam-Request-Id", fmt.Sprint(name, "-", i))
		response, err := client.Do(request)
		if errors.Is(err, errGone) {
			return
		}
		if err != nil {
			result.record(err.Error())
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case err != nil:
			result.record("answer was cut: " + err.Error())
		case response.StatusCode != http.StatusOK || string(body) != "ok":
			result.record(fmt.Sprint("status ", response.StatusCode, " ", strings.TrimSpace(string(body))))
		default:
			result.record("")
		}
	}
}

// Guards against requests that are cut off by a planned stop under load: those
// just accepted, those whose body is half read, those that run, and those sent on
// connections that are kept open until the process is gone.
func TestShutdownUnderLoad(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(rand.N(120 * time.Millisecond))
		answerOK(writer, request)
	})
	// A long timeout, so that no request fails for another reason.
	h.store.Put("config", "main", `{"version":4,"routes":[{"name":"r","host":"h","path_prefix":"/patient/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":100,"max_attempts":1,"service":"s"}],
		"services":[{"name":"s","max_connections":100}],"tenants":[{"name":"w","api_keys":["k"]}]}`)
	h.awaitStatus(t, "not ready", http.StatusOK, h.settings.CallerAddress+"/patient/", "k")
	platform, result := &rotation{}, &outcomes{}
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { h.callUntilGone(fmt.Sprint("kept", i), true, 0, platform, result) })
		group.Go(func() { h.callUntilGone(fmt.Sprint("new", i), false, 0, platform, result) })
		group.Go(func() { h.callUntilGone(fmt.Sprint("slow", i), true, 900*time.Millisecond, platform, result) })
	}
	time.Sleep(time.Second)
	platform.takeOutAfter(rotationDelay)
	h.process.Shutdown()
	h.stopped = true
	group.Wait()
	t.Log(result.answered, "requests answered")
	is.Equal(result.failures, []string(nil))
	is.True(result.answered > 300)
}
