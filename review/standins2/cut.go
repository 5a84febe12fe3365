//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const adviceConfig = `{"version":7,
"routes":[{"name":"advice","host":"site.example","path_prefix":"/advice/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,
 "priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":400}],
"services":[{"name":"llm","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,
 "engine":{"slots":64,"kv_capacity":95853,"kv_token_bytes":163840,"link_mbps":180000.0,"models":[{"name":"model-one"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-one","api_keys":["key-one"]}]}`

const (
	streamsPerSecond = 16
	streamEvents     = 40
	cutCrashes       = 4
	crashEvery       = 6 * time.Second
	// crashedFor is how long an engine is down after a crash.
	crashedFor = 3 * time.Second
)

// runCut lets single engines crash while streams run whose answers end with their
// connection. FRAMED=1 sends the answers in chunks instead.
func runCut(d *deployment) (int, error) {
	d.store.put("config", "main", adviceConfig)
	var mutex sync.Mutex
	runs := map[string]int{}
	report := func(engine, word string, at time.Time, what string) {
		mutex.Lock()
		defer mutex.Unlock()
		if word == "run" {
			runs[what]++
			d.noteAt(at, "engine %s runs %s", engine, what)
		}
	}
	options := engineOptions{events: streamEvents, interval: 40 * time.Millisecond, framed: os.Getenv("FRAMED") == "1"}
	var engines []*runningEngine
	for i := range engineCount {
		e, err := d.addEngine("llm", zones[i%len(zones)], options, crashedFor, report)
		if err != nil {
			return exitNotRun, err
		}
		engines = append(engines, e)
	}
	if err := d.startEntries(entryCount); err != nil {
		return exitNotRun, err
	}
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	client := newClient()
	outcomes := map[string]int{}
	ask := func() {
		id := requestID()
		entry := d.entries[rand.IntN(len(d.entries))]
		header := map[string]string{
			"Mulberrybeam-Model": "model-one", "Mulberrybeam-Token-Usage": "750,40",
			"Mulberrybeam-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%08x:400,%s:50", 0xa0+rand.IntN(40), id[:8]),
		}
		got := send(client, entry, http.MethodPost, "/advice/"+id, id, header, "prompt of "+id, 15*time.Second)
		events := countEvents(got.body)
		outcome := "whole"
		switch {
		case got.err != nil:
			outcome = "broken off"
		case got.status != http.StatusOK:
			outcome = fmt.Sprint("status ", got.status)
		case events < streamEvents:
			outcome = "ended as complete before its last event"
		}
		d.note("client got for %s from %s: %s, %d of %d events", id, entry.name, outcome, events, streamEvents)
		mutex.Lock()
		defer mutex.Unlock()
		outcomes[outcome]++
	}
	clients.Go(func() {
		for {
			select {
			case <-stopClients:
				return
			case <-time.After(time.Second / streamsPerSecond):
				clients.Go(ask)
			}
		}
	})
	time.Sleep(5 * time.Second)
	for i := range cutCrashes {
		if d.trouble {
			d.note("engine %s crashes", engines[i].id)
			engines[i].stop()
		}
		time.Sleep(crashEvery)
	}
	close(stopClients)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	d.note("streams: %v", outcomes)
	switch {
	case outcomes["whole"] == 0:
		return exitNotRun, fmt.Errorf("no stream was whole")
	case outcomes["ended as complete before its last event"] > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}

func init() { cases["cut"] = runCut }
