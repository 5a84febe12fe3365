//go:build review

// Command 2 shows streams that are taken during a planned stop and cut at its end.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"mulberrybeam/review/harness"
)

const (
	service = "huvo11a"
	model   = "daka510000"
	key     = "nu6wsjnbanfqasnmgkcu"
	callers = 12
	// eventTime is well within the pause of 400 ms that the route allows.
	eventTime = 250 * time.Millisecond
	// A stream has minTokens to maxTokens tokens, 6 in an event: 3 to 8 s.
	minTokens, maxTokens = 75, 187
	calmTime             = 6 * time.Second
	grace                = 8 * time.Second
	// lateAfter is how long after SIGTERM a request may be sent that the end of the
	// grace period may cut.
	lateAfter = 3 * time.Second
)

func main() { harness.Main(play) }

func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-advice", "host": harness.RouteHost, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2, "public": false, "sticky": true,
			"resumable": true, "gap_aim_ms": 400,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 14.0,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 95853, "kv_token_bytes": 163840, "link_mbps": 180000.0, "moves": true, "backups": true, "managed": true,
				"stride": 6, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "jeye930", "api_keys": []string{key}, "priority": 1}},
	}
}

// sent is a request with the host that took it.
type sent struct {
	host  *harness.Host
	reply harness.Reply
}

// history collects the requests of all callers.
type history struct {
	mutex sync.Mutex
	list  []sent
}

func (h *history) add(entry sent) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.list = append(h.list, entry)
}

func play(c *harness.Case) ([]string, error) {
	platform := harness.NewPlatform()
	platform.Write("config", "main", configuration())
	platform.Write("versions", model, map[string]any{"model": model, "version": 1})
	zones := []string{"smolyan", "devin", "chepelare"}
	var engines []*harness.Engine
	for i, zone := range zones {
		engine, err := c.StartEngine(platform, harness.EngineOptions{
			Service: service, ID: fmt.Sprintf("i-%d", i+1), Zone: zone, Model: model, Slots: 64, EventTime: eventTime,
		})
		if err != nil {
			return nil, err
		}
		engines = append(engines, engine)
	}
	var hosts []*harness.Host
	for i, zone := range zones {
		host, err := c.StartHost(fmt.Sprintf("front-%s-%d", zone, i+1), zone, platform)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, host)
	}
	seen := &history{}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() { ask(c, hosts, seen, stop) })
	}
	time.Sleep(calmTime)
	stoppedAt := c.Since()
	if c.Trouble {
		c.Log("%s gets SIGTERM", hosts[0].Name)
		hosts[0].Signal(syscall.SIGTERM)
	}
	time.Sleep(grace)
	c.Log("%s runs at the end of the grace period: %t", hosts[0].Name, hosts[0].Running())
	if c.Trouble {
		hosts[0].Signal(syscall.SIGKILL)
	}
	close(stop)
	workers.Wait()
	return judge(c, engines, hosts[0], seen, stoppedAt), nil
}

// ask sends prompts one after the other over a connection that the caller keeps. It
// goes to another host once the first one takes no request any more.
func ask(c *harness.Case, hosts []*harness.Host, seen *history, stop <-chan struct{}) {
	caller := c.NewCaller()
	at := 0
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		default:
		}
		reply := caller.Send(harness.Request{
			Host: hosts[at], Method: "POST", Path: fmt.Sprintf("/puxa400/%d", number), Key: key, Deadline: 15 * time.Second,
			Model: model, OutputTokens: minTokens + rand.IntN(maxTokens-minTokens+1), Body: "prompt",
			Parts: []harness.Part{{ID: "5c1e07a2", Tokens: 512}, {ID: fmt.Sprintf("e4%06x", rand.IntN(1<<24)), Tokens: 250}},
		})
		c.Log("sent at %.3f to %s: %s", reply.SentAt.Seconds(), hosts[at].Name, reply)
		seen.add(sent{hosts[at], reply})
		if reply.Err != nil || reply.Closes() {
			// The platform sends new connections to hosts that are ready.
			at = 1 + rand.IntN(len(hosts)-1)
		}
	}
}

// judge returns the requests that the stopping host passed on to an engine and whose
// answer it cut, among those sent later than lateAfter after SIGTERM.
func judge(c *harness.Case, engines []*harness.Engine, stopping *harness.Host, seen *history, stoppedAt time.Duration) []string {
	ran := map[string]bool{}
	for _, engine := range engines {
		for _, arrival := range engine.Arrivals() {
			ran[arrival.Request] = ran[arrival.Request] || arrival.Ran
		}
	}
	var broken []string
	for _, entry := range seen.list {
		late := entry.reply.SentAt - stoppedAt
		if entry.host != stopping || entry.reply.Err == nil || !ran[entry.reply.ID] || late <= lateAfter {
			continue
		}
		broken = append(broken, fmt.Sprintf("sent %.3f s after SIGTERM, cut %.3f s after it: %s",
			late.Seconds(), (entry.reply.EndAt-stoppedAt).Seconds(), entry.reply))
	}
	return broken
}
