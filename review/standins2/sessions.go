//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// A request of a session names sessionParts parts of sessionPartSize tokens, beside its
	// own, and takes sessionEvents events.
	sessionParts     = 16
	sessionPartSize  = 40
	sessionEvents    = 20
	sessionInterval  = 200 * time.Millisecond
	sessionPerSecond = 90
	sessionTime      = 60 * time.Second
	// Requests with the deadly part come every sessionDeadly. Every sessionCrash an engine
	// crashes by itself.
	sessionDeadly = 2 * time.Second
	sessionCrash  = 6 * time.Second
)

// runSessions sends requests with a part that crashes engines beside many long sessions.
// PARTS sets how many parts a session has.
func runSessions(d *deployment) (int, error) {
	parts := sessionParts
	if text := os.Getenv("PARTS"); text != "" {
		parts, _ = strconv.Atoi(text)
	}
	var mutex sync.Mutex
	crashedAt, deadlyIDs, late := []time.Time{}, map[string]bool{}, 0
	report := func(engine, word string, at time.Time, what string) {
		mutex.Lock()
		defer mutex.Unlock()
		switch word {
		case "run":
			d.noteAt(at, "engine %s runs %s, deadly: %t", engine, what, deadlyIDs[what])
			if deadlyIDs[what] && len(crashedAt) >= decisiveCrash && at.Sub(crashedAt[decisiveCrash-1]) > stabilityWindow {
				late++
			}
		case "crash":
			crashedAt = append(crashedAt, at)
			d.noteAt(at, "engine %s crashes on %s", engine, what)
		}
	}
	d.store.put("config", "main", adviceConfig)
	options := engineOptions{events: sessionEvents, interval: sessionInterval, framed: true, deadly: deadlyPart}
	for i := range engineCount {
		if _, err := d.addEngine("llm", zones[i%len(zones)], options, engineRestart, report); err != nil {
			return exitNotRun, err
		}
	}
	if err := d.startEntries(entryCount); err != nil {
		return exitNotRun, err
	}
	var clients sync.WaitGroup
	client := newClient()
	outcomes := map[string]int{}
	ask := func(prefix string, tokens int, isDeadly bool) {
		id := requestID()
		header := map[string]string{
			"Mulberrybeam-Model": "model-one", "Mulberrybeam-Token-Usage": fmt.Sprintf("%d,20", tokens+50),
			"Mulberrybeam-Prompt-Prefix": prefix + "," + id[:8] + ":50",
		}
		entry := d.entries[rand.IntN(len(d.entries))]
		if isDeadly {
			mutex.Lock()
			deadlyIDs[id] = true
			mutex.Unlock()
			d.note("client sends %s with the deadly part to %s", id, entry.name)
		}
		got := send(client, entry, http.MethodPost, "/advice/"+id, id, header, "prompt of "+id, 15*time.Second)
		d.note("client got for %s from %s: status %d, %d events, error %v", id, entry.name, got.status, countEvents(got.body), got.err)
		if isDeadly {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		outcomes[fmt.Sprintf("status %d, whole %t", got.status, got.err == nil && countEvents(got.body) == sessionEvents)]++
	}
	session := func() (string, int) {
		ids := []string{"5c1e07a2:40"}
		for range parts - 1 {
			ids = append(ids, fmt.Sprintf("%08x:%d", rand.Uint32(), sessionPartSize))
		}
		return strings.Join(ids, ","), parts * sessionPartSize
	}
	begun := time.Now()
	nextDeadly, nextCrash := begun.Add(6*time.Second), begun.Add(20*time.Second)
	for time.Since(begun) < sessionTime {
		time.Sleep(time.Second / sessionPerSecond)
		prefix, tokens := session()
		clients.Go(func() { ask(prefix, tokens, false) })
		if d.trouble && time.Now().After(nextCrash) {
			nextCrash = nextCrash.Add(sessionCrash)
			d.crashAny()
		}
		if d.trouble && time.Now().After(nextDeadly) {
			nextDeadly = nextDeadly.Add(sessionDeadly)
			clients.Go(func() { ask("5c1e07a2:40,"+deadlyPart+":40", 80, true) })
		}
	}
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	d.note("%d requests with the deadly part, %d crashes, %d reached engines later than %s after crash %d, %d are allowed",
		len(deadlyIDs), len(crashedAt), late, stabilityWindow, decisiveCrash, allowedDeadly)
	d.note("sessions: %v", outcomes)
	switch {
	case outcomes["status 200, whole true"] == 0 || d.trouble && len(crashedAt) == 0:
		return exitNotRun, fmt.Errorf("nothing was served, or no engine crashed")
	case late > allowedDeadly:
		return exitBroken, nil
	}
	return exitHeld, nil
}

func init() { cases["sessions"] = runSessions }
