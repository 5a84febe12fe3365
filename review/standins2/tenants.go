//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// tenantsConfig is a configuration with the given version and tenants.
const tenantsConfig = `{"version":%d,
"routes":[{"name":"order","host":"site.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,
 "priority":2,"service":"shop","max_attempts":1,"public":false}],
"services":[{"name":"shop","health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[%s]}`

const (
	tenantOne = `{"name":"tenant-one","api_keys":["key-one"]}`
	tenantTwo = `{"name":"tenant-two","api_keys":["key-two"]}`
	// revokeTime is the time after which a key that was taken away must not be used.
	revokeTime = 5 * time.Second
	// settleTime is the time between two configurations.
	settleTime = 8 * time.Second
)

// runTenants takes the tenants away, one after the other, while their clients go on.
func runTenants(d *deployment) (int, error) {
	var mutex sync.Mutex
	ran := map[string]bool{}
	report := func(engine, word string, at time.Time, what string) {
		mutex.Lock()
		defer mutex.Unlock()
		if word == "run" {
			ran[what] = true
			d.noteAt(at, "engine %s runs %s", engine, what)
		}
	}
	d.store.put("config", "main", fmt.Sprintf(tenantsConfig, 7, tenantOne+","+tenantTwo))
	for i := range 3 {
		if _, err := d.addEngine("shop", zones[i%len(zones)], engineOptions{work: 20 * time.Millisecond}, 0, report); err != nil {
			return exitNotRun, err
		}
	}
	if err := d.startEntries(entryCount); err != nil {
		return exitNotRun, err
	}
	type sent struct {
		id, key string
		at      time.Time
		status  int
	}
	var all []sent
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	client := newClient()
	order := func(key string) {
		id, at := requestID(), time.Now()
		got := send(client, d.entries[rand.IntN(len(d.entries))], http.MethodPost, "/order/"+id, id, map[string]string{"Api-Key": key}, "order "+id, 1500*time.Millisecond)
		d.noteAt(at, "client with %s sends %s: status %d", key, id, got.status)
		mutex.Lock()
		defer mutex.Unlock()
		all = append(all, sent{id, key, at, got.status})
	}
	clients.Go(func() {
		for {
			select {
			case <-stopClients:
				return
			case <-time.After(50 * time.Millisecond):
				clients.Go(func() { order("key-one") })
				clients.Go(func() { order("key-two") })
				clients.Go(func() { order("key-never-held") })
			}
		}
	})
	time.Sleep(4 * time.Second)
	takenAt := map[string]time.Time{}
	if d.trouble {
		takenAt["key-one"] = d.store.put("config", "main", fmt.Sprintf(tenantsConfig, 8, tenantTwo))
		d.note("version 8, without tenant-one, is acknowledged")
	}
	time.Sleep(settleTime)
	if d.trouble {
		takenAt["key-two"] = d.store.put("config", "main", fmt.Sprintf(tenantsConfig, 9, ""))
		d.note("version 9, without tenant-two as well, is acknowledged")
	}
	time.Sleep(settleTime + revokeTime)
	close(stopClients)
	clients.Wait()
	// The engines' reports of the last requests.
	time.Sleep(200 * time.Millisecond)
	mutex.Lock()
	defer mutex.Unlock()
	late, unknown, served := map[string]int{}, 0, 0
	for _, s := range all {
		taken, revoked := takenAt[s.key]
		switch {
		case s.status == http.StatusOK && !revoked && s.key != "key-never-held":
			served++
		case !ran[s.id]:
		case s.key == "key-never-held":
			unknown++
		case revoked && s.at.Sub(taken) > revokeTime:
			late[s.key]++
		}
	}
	d.note("requests that ran although they were sent later than %s after their key was taken away: %v", revokeTime, late)
	d.note("requests that ran with a key that no configuration held: %d", unknown)
	d.note("requests served with keys in force to the end: %d", served)
	switch {
	case len(late) > 0 || unknown > 0:
		return exitBroken, nil
	case !d.trouble && served == 0:
		return exitNotRun, fmt.Errorf("nothing was served")
	}
	return exitHeld, nil
}

func init() { cases["tenants"] = runTenants }
