//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const shopConfig = `{"version":7,
"routes":[{"name":"order","host":"site.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,
 "priority":2,"service":"shop","max_attempts":1,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-one","api_keys":["key-one"]}]}`

const (
	drainRounds     = 5
	drainRoundTime  = 7 * time.Second
	ordersPerSecond = 80
	// watchCuts is how often the store cuts the watches that wait, cutInterval apart.
	watchCuts   = 2
	cutInterval = 300 * time.Millisecond
	// removalAfterCut is the time from the cut of the watches to the removal of an
	// engine's entry.
	removalAfterCut = 100 * time.Millisecond
	// servesLonger is how long an engine serves beyond drainTime before it exits.
	servesLonger = 300 * time.Millisecond
)

// runDrain removes the entries of engines that leave without reporting it, each just after
// the store has cut the watches that waited.
func runDrain(d *deployment) (int, error) {
	var mutex sync.Mutex
	removedAt := map[string]time.Time{}
	late, ran, ended := 0, map[string]bool{}, map[string]bool{}
	report := func(engine, word string, at time.Time, what string) {
		mutex.Lock()
		defer mutex.Unlock()
		switch word {
		case "run":
			ran[what] = true
			if _, leaves := removedAt[engine]; !leaves {
				d.noteAt(at, "engine %s runs %s", engine, what)
			}
			if removed, leaves := removedAt[engine]; leaves {
				d.noteAt(at, "engine %s runs %s, %.3f s after its removal was acknowledged", engine, what, at.Sub(removed).Seconds())
				if at.Sub(removed) > drainTime {
					late++
				}
			}
		case "end":
			ended[what] = true
		}
	}
	d.store.put("config", "main", shopConfig)
	options := engineOptions{work: 60 * time.Millisecond}
	var engines []*runningEngine
	for i := range 4 {
		e, err := d.addEngine("shop", zones[i%len(zones)], options, 0, report)
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
	results := map[string]int{}
	client := newClient()
	order := func() {
		id := requestID()
		got := send(client, d.entries[rand.IntN(len(d.entries))], http.MethodPost, "/order/"+id, id, nil, "order "+id, 1500*time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		outcome := fmt.Sprint("status ", got.status)
		if got.err != nil {
			outcome = "no answer"
		}
		results[outcome]++
		d.note("client got %s for order %s, which ran: %t, and ended: %t", outcome, id, ran[id], ended[id])
	}
	clients.Go(func() {
		for {
			select {
			case <-stopClients:
				return
			case <-time.After(time.Second / ordersPerSecond):
				clients.Go(order)
			}
		}
	})
	time.Sleep(2 * time.Second)
	for round := range drainRounds {
		begun := time.Now()
		e, err := d.addEngine("shop", zones[round%len(zones)], options, 0, report)
		if err != nil {
			return exitNotRun, err
		}
		engines = append(engines, e)
		time.Sleep(3 * time.Second)
		leaving := engines[round]
		for cut := range watchCuts {
			if !d.trouble {
				break
			}
			d.store.cut()
			d.note("the store cuts the watches that wait, %d of %d", cut+1, watchCuts)
			if cut+1 < watchCuts {
				time.Sleep(cutInterval)
			}
		}
		time.Sleep(removalAfterCut)
		mutex.Lock()
		removedAt[leaving.id] = d.store.remove("servers", leaving.id)
		mutex.Unlock()
		d.note("the removal of engine %s is acknowledged", leaving.id)
		time.Sleep(drainTime + servesLonger)
		leaving.stop()
		d.note("engine %s exits", leaving.id)
		time.Sleep(time.Until(begun.Add(drainRoundTime)))
	}
	close(stopClients)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	cut := 0
	for id := range ran {
		if !ended[id] {
			cut++
		}
	}
	d.note("answers: %v", results)
	d.note("%d requests reached engines later than %s after the acknowledgement that they are gone; %d orders were cut at work", late, drainTime, cut)
	switch {
	case results["status 200"] == 0:
		return exitNotRun, fmt.Errorf("nothing was served")
	case late > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}

func init() { cases["drain"] = runDrain }
