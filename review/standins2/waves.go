//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// A wave sends this many requests with the deadly part to each machine at once.
	wavePerMachine = 4
	// firstWaves come firstInterval apart, until engines have crashed decisiveCrash times.
	firstWaves    = 4
	firstInterval = 300 * time.Millisecond
	// secondAfter is the time from the last crash to the last wave.
	secondAfter = 32500 * time.Millisecond
	// firstToken is the time until an engine begins to write an answer.
	firstToken = 150 * time.Millisecond
)

// runWaves sends requests with a part that crashes engines to all machines at once, and
// again half a minute later.
func runWaves(d *deployment) (int, error) {
	var mutex sync.Mutex
	arrivedAt, crashedAt, deadlyIDs := map[string]time.Time{}, []time.Time{}, map[string]bool{}
	sound := map[string]int{}
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
	options := engineOptions{events: 10, interval: 40 * time.Millisecond, framed: true, deadly: deadlyPart, firstToken: firstToken}
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
	ask := func(entry *entry, part string, tokens int, isDeadly bool) {
		id := requestID()
		header := map[string]string{
			"Mulberrybeam-Model": "model-one", "Mulberrybeam-Token-Usage": fmt.Sprintf("%d,10", 350+tokens),
			"Mulberrybeam-Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%s:%d,%s:50", part, tokens, id[:8]),
		}
		if isDeadly {
			mutex.Lock()
			deadlyIDs[id] = true
			mutex.Unlock()
			d.note("client sends %s with the deadly part to %s", id, entry.name)
		}
		got := send(client, entry, http.MethodPost, "/tag/"+id, id, header, "prompt of "+id, 3*time.Second)
		d.note("client got for %s: status %d, %d events, error %v", id, got.status, countEvents(got.body), got.err)
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case isDeadly:
		case got.status == http.StatusOK && got.err == nil && countEvents(got.body) == options.events:
			sound["whole"]++
		default:
			sound["lost or refused"]++
		}
	}
	wave := func() {
		for _, entry := range d.entries {
			for range wavePerMachine {
				clients.Go(func() { ask(entry, deadlyPart, 4000, true) })
			}
		}
	}
	stopClients := make(chan struct{})
	clients.Go(func() {
		for {
			select {
			case <-stopClients:
				return
			case <-time.After(time.Second / soundPerSecond):
				clients.Go(func() { ask(d.entries[rand.IntN(len(d.entries))], fmt.Sprintf("%08x", 0xa0+rand.IntN(40)), 400, false) })
			}
		}
	})
	crashes := func() (int, time.Time) {
		mutex.Lock()
		defer mutex.Unlock()
		if len(crashedAt) == 0 {
			return 0, time.Now()
		}
		return len(crashedAt), crashedAt[len(crashedAt)-1]
	}
	time.Sleep(3 * time.Second)
	for range firstWaves {
		if count, _ := crashes(); !d.trouble || count >= decisiveCrash {
			break
		}
		wave()
		time.Sleep(firstInterval)
	}
	time.Sleep(2 * time.Second)
	first, last := crashes()
	d.note("%d crashes in the first waves", first)
	time.Sleep(time.Until(last.Add(secondAfter)))
	if d.trouble {
		wave()
	}
	time.Sleep(8 * time.Second)
	close(stopClients)
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
	case sound["whole"] == 0 || d.trouble && first < decisiveCrash:
		return exitNotRun, fmt.Errorf("nothing was served, or too few engines crashed at first")
	case late > allowedDeadly:
		return exitBroken, nil
	}
	return exitHeld, nil
}

func init() { cases["waves"] = runWaves }
