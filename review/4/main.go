//go:build review

// Command 4 shows that other tenants' requests use context of a tenant that the
// configuration isolates.
package main

import (
	"fmt"
	"sync"
	"time"

	"mulberrybeam/review/harness"
)

const (
	service = "huvo11a"
	model   = "daka510000"
	// configApplyTime is the time in which a configuration takes effect.
	configApplyTime = 2 * time.Second
)

// Tenants and their keys.
const (
	guarded    = "jeye930"
	guardedKey = "nu6wsjnbanfqasnmgkcu"
	other      = "xiru118"
	otherKey   = "yj8pjbvk9m68k7b2ex5w"
)

func main() { harness.Main(play) }

func configuration(version int, isolated bool, timeout time.Duration) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-advice", "host": harness.RouteHost, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": timeout.Milliseconds(),
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
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": guarded, "api_keys": []string{guardedKey}, "priority": 1, "isolated": isolated},
			{"name": other, "api_keys": []string{otherKey}, "priority": 1, "isolated": false},
		},
	}
}

// uses collects the parts that engines read from memory.
type uses struct {
	mutex sync.Mutex
	list  []harness.Use
}

func (u *uses) add(use harness.Use) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.list = append(u.list, use)
}

func play(c *harness.Case) ([]string, error) {
	platform := harness.NewPlatform()
	platform.Write("config", "main", configuration(3, false, 15*time.Second))
	platform.Write("versions", model, map[string]any{"model": model, "version": 1})
	read := &uses{}
	for i, zone := range []string{"smolyan", "devin", "chepelare"} {
		_, err := c.StartEngine(platform, harness.EngineOptions{
			Service: service, ID: fmt.Sprintf("i-%d", i+1), Zone: zone, Model: model, Slots: 64, Used: read.add,
		})
		if err != nil {
			return nil, err
		}
	}
	var hosts []*harness.Host
	for i, zone := range []string{"smolyan", "devin", "chepelare"} {
		host, err := c.StartHost(fmt.Sprintf("front-%s-%d", zone, i+1), zone, platform)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, host)
	}
	sendPrompts(c, hosts, guardedKey)
	// With its disruption, the configuration isolates a tenant. Without it, the
	// configuration changes a timeout.
	timeout := 15 * time.Second
	if !c.Trouble {
		timeout = 14 * time.Second
	}
	platform.Write("config", "main", configuration(7, c.Trouble, timeout))
	acknowledged := c.Since()
	c.Log("the store has accepted configuration 7, in which %s is isolated: %t", guarded, c.Trouble)
	time.Sleep(configApplyTime + time.Second)
	sendPrompts(c, hosts, otherKey)
	sendPrompts(c, hosts, guardedKey)
	return judge(c, read, acknowledged+configApplyTime), nil
}

// sendPrompts sends prompts of a tenant to all hosts. Prompts share the first two
// parts; the last one is of the request alone.
func sendPrompts(c *harness.Case, hosts []*harness.Host, key string) {
	caller := c.NewCaller()
	for number := range 12 {
		reply := caller.Send(harness.Request{
			Host: hosts[number%len(hosts)], Method: "POST", Path: fmt.Sprintf("/puxa400/%d", number), Key: key, Deadline: 15 * time.Second,
			Model: model, OutputTokens: 24, Body: "prompt",
			Parts: []harness.Part{
				{ID: "5c1e07a2", Tokens: 512}, {ID: fmt.Sprintf("91bd3f%02x", number%4), Tokens: 8610}, {ID: fmt.Sprintf("e440%s%02x", key[:2], number), Tokens: 250},
			},
		})
		c.Log("%s, key %s", reply, key)
	}
}

// judge returns the uses of context across the wall around the guarded tenant, by
// requests sent later than from.
func judge(c *harness.Case, read *uses, from time.Duration) []string {
	read.mutex.Lock()
	defer read.mutex.Unlock()
	var broken []string
	for _, use := range read.list {
		c.Log("%s of %s read part %s from the memory of %s, salt %q, made by %s at %.3f", use.Request, use.Tenant, use.Part, use.Engine, use.Salt, use.MadeBy, use.MadeAt.Seconds())
		if c.Trouble && use.At > from && use.MadeBy != use.Tenant && (use.MadeBy == guarded || use.Tenant == guarded) {
			broken = append(broken, fmt.Sprintf("request %s of tenant %s used part %s at %s, which a request of the isolated tenant %s made", use.Request, use.Tenant, use.Part, use.Engine, use.MadeBy))
		}
	}
	return broken
}
