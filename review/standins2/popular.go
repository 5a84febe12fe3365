//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const listConfig = `{"version":7,
"routes":[{"name":"look","host":"site.example","path_prefix":"/stock/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,
 "priority":2,"service":"shop","max_attempts":2,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-one","api_keys":["key-one"]}]}`

const (
	// The clients of the tenant look up the same list.
	listPath       = "/stock/list"
	looksPerSecond = 140
	// Engines crash one at a time before the final fault.
	engineCrashes  = 4
	crashInterval  = 3 * time.Second
	recoveryTime   = 12 * time.Second
	measuredTime   = 20 * time.Second
	neededFraction = 0.25
)

// runPopular lets engines crash one after the other while clients look up one list, and
// then kills all entry processes.
func runPopular(d *deployment) (int, error) {
	var mutex sync.Mutex
	report := func(engine, word string, at time.Time, what string) {
		if word == "run" {
			d.noteAt(at, "engine %s runs %s", engine, what)
		}
	}
	d.store.put("config", "main", listConfig)
	options := engineOptions{work: 60 * time.Millisecond}
	var engines []*runningEngine
	for i := range 4 {
		e, err := d.addEngine("shop", zones[i%len(zones)], options, 2*time.Second, report)
		if err != nil {
			return exitNotRun, err
		}
		engines = append(engines, e)
	}
	if err := d.startEntries(entryCount); err != nil {
		return exitNotRun, err
	}
	type outcome struct {
		sentAt time.Time
		served bool
	}
	var outcomes []outcome
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	client := newClient()
	look := func() {
		id, sentAt := requestID(), time.Now()
		d.mutex.Lock()
		entry := d.entries[rand.IntN(len(d.entries))]
		d.mutex.Unlock()
		got := send(client, entry, http.MethodGet, listPath, id, nil, "", 1500*time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		served := got.err == nil && got.status == http.StatusOK && got.body == "answer to "+id
		outcomes = append(outcomes, outcome{sentAt, served})
		d.noteAt(sentAt, "client looks up the list at %s, %s: status %d, error %v", entry.name, id, got.status, got.err)
	}
	clients.Go(func() {
		for {
			select {
			case <-stopClients:
				return
			case <-time.After(time.Second / looksPerSecond):
				clients.Go(look)
			}
		}
	})
	time.Sleep(5 * time.Second)
	for i := range engineCrashes {
		if d.trouble {
			d.note("engine %s crashes", engines[i].id)
			engines[i].stop()
		}
		time.Sleep(crashInterval)
	}
	d.store.put("config", "main", strings.Replace(listConfig, `"version":7`, `"version":8`, 1))
	finalAt := time.Now()
	d.note("version 8 is acknowledged; final fault: all entry processes are killed")
	if err := d.restartEntries(); err != nil {
		return exitNotRun, err
	}
	backAt := time.Now()
	d.note("all entry processes are ready again")
	time.Sleep(recoveryTime + measuredTime)
	close(stopClients)
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	before, after := [2]int{}, [2]int{}
	for _, o := range outcomes {
		counts := &before
		switch {
		case o.sentAt.After(backAt.Add(recoveryTime)):
			counts = &after
		case o.sentAt.After(finalAt):
			continue
		}
		counts[1]++
		if o.served {
			counts[0]++
		}
	}
	d.note("before the final fault %d of %d were served, later than %s after the processes were back %d of %d",
		before[0], before[1], recoveryTime, after[0], after[1])
	switch {
	case after[1] == 0 || float64(before[0]) < neededFraction*float64(before[1]):
		return exitNotRun, fmt.Errorf("too little was served before the final fault")
	case float64(after[0]) < neededFraction*float64(after[1]):
		return exitBroken, nil
	}
	return exitHeld, nil
}

func init() { cases["popular"] = runPopular }
