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

const llmConfig = `{"version":7,
"routes":[{"name":"tag","host":"site.example","path_prefix":"/tag/","kind":"streaming","timeout_ms":3000,"target_latency_ms":800,
 "priority":0,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":400}],
"services":[{"name":"llm","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,
 "engine":{"slots":64,"kv_capacity":95853,"kv_token_bytes":163840,"link_mbps":180000.0,"models":[{"name":"model-one"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-one","api_keys":["key-one"]}]}`

// Part of a prompt that crashes engines, and how requests with it come.
const (
	deadlyPart     = "dead0000"
	deadlyInterval = 2500 * time.Millisecond
	deadlyTime     = 50 * time.Second
	// allowedDeadly is how many requests with the part may reach engines later than
	// stabilityWindow after the fifth crash.
	allowedDeadly  = 3
	decisiveCrash  = 5
	engineRestart  = 2 * time.Second
	soundPerSecond = 20
)

// runDeadly sends requests with a part that crashes engines beside sound ones, where
// answers end with their connection. FRAMED=1 sends the answers in chunks instead.
func runDeadly(d *deployment) (int, error) {
	var mutex sync.Mutex
	arrivedAt, crashedAt := map[string]time.Time{}, []time.Time{}
	report := func(engine, word string, at time.Time, what string) {
		mutex.Lock()
		defer mutex.Unlock()
		switch word {
		case "run":
			arrivedAt[what] = at
			d.noteAt(at, "engine %s runs %s", engine, what)
		case "crash":
			crashedAt = append(crashedAt, at)
			d.noteAt(at, "engine %s crashes on %s", engine, what)
		}
	}
	d.store.put("config", "main", llmConfig)
	options := engineOptions{events: 10, interval: 40 * time.Millisecond, framed: os.Getenv("FRAMED") == "1", deadly: deadlyPart}
	for i := range engineCount {
		if _, err := d.addEngine("llm", zones[i%len(zones)], options, engineRestart, report); err != nil {
			return exitNotRun, err
		}
	}
	if err := d.startEntries(entryCount); err != nil {
		return exitNotRun, err
	}
	deadlyIDs, sound := map[string]bool{}, map[string]int{}
	var clients sync.WaitGroup
	client := newClient()
	ask := func(part string, isDeadly bool) {
		id := requestID()
		entry := d.entries[rand.IntN(len(d.entries))]
		header := map[string]string{
			"Mulberrybeam-Model": "model-one", "Mulberrybeam-Token-Usage": "750,10",
			"Mulberrybeam-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%s:400,%s:50", part, id[:8]),
		}
		if isDeadly {
			mutex.Lock()
			deadlyIDs[id] = true
			mutex.Unlock()
			d.note("client sends %s with the deadly part to %s", id, entry.name)
		}
		got := send(client, entry, http.MethodPost, "/tag/"+id, id, header, "prompt of "+id, 3*time.Second)
		outcome := fmt.Sprintf("status %d, %d events, error %v", got.status, countEvents(got.body), got.err)
		d.note("client got for %s: %s", id, outcome)
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case isDeadly:
		case got.status != http.StatusOK:
			sound[fmt.Sprint("status ", got.status)]++
		case got.err != nil:
			sound["broken off"]++
		case countEvents(got.body) < options.events:
			sound["ended early as complete"]++
		default:
			sound["complete"]++
		}
	}
	stopAt := time.Now().Add(deadlyTime + 2*time.Second)
	deadlyFrom := time.Now().Add(2 * time.Second)
	for time.Now().Before(stopAt) {
		time.Sleep(time.Second / soundPerSecond)
		clients.Go(func() { ask(fmt.Sprintf("%08x", 0xa0+rand.IntN(40)), false) })
		if d.trouble && time.Now().After(deadlyFrom) {
			deadlyFrom = deadlyFrom.Add(deadlyInterval)
			clients.Go(func() { ask(deadlyPart, true) })
		}
	}
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	late := 0
	if len(crashedAt) >= decisiveCrash {
		bound := crashedAt[decisiveCrash-1].Add(stabilityWindow)
		for id := range deadlyIDs {
			if at, arrived := arrivedAt[id]; arrived && at.After(bound) {
				late++
			}
		}
	}
	d.note("%d requests with the deadly part, %d crashes, %d of the requests reached engines later than %s after crash %d, %d are allowed",
		len(deadlyIDs), len(crashedAt), late, stabilityWindow, decisiveCrash, allowedDeadly)
	d.note("sound requests: %v", sound)
	switch {
	case sound["complete"] == 0 || d.trouble && len(crashedAt) < 1:
		return exitNotRun, fmt.Errorf("nothing was served, or no engine crashed")
	case late > allowedDeadly:
		return exitBroken, nil
	}
	return exitHeld, nil
}

func init() { cases["deadly"] = runDeadly }
