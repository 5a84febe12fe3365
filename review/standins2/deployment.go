//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments.
const (
	stabilityWindow = 3000 * time.Millisecond
	drainTime       = 2000 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	apiKey          = "key-one"
	host            = "site.example"
	// entryCount and engineCount are the numbers of machines and of model engines.
	entryCount  = 9
	engineCount = 9
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	folder  string
	network string
	trouble bool
	record  *os.File
	store   *store
	entries []*entry
	started time.Time

	mutex   sync.Mutex
	engines map[string]*runningEngine
	nextID  int
	closing bool
	workers sync.WaitGroup
}

// newDeployment creates the record and the folder of a run, without processes.
func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "standins2-")
	if err != nil {
		return nil, err
	}
	name := os.Getenv("RECORD")
	if name == "" {
		name = filepath.Join(folder, "record.txt")
	}
	record, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		folder: folder, network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), 1+rand.IntN(250)),
		trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now(), engines: map[string]*runningEngine{},
	}
	d.note("trouble: %t", d.trouble)
	if d.store, err = startStore(d.network + ".1:0"); err != nil {
		return nil, err
	}
	return d, nil
}

// note writes a line to the record.
func (d *deployment) note(format string, arguments ...any) {
	d.noteAt(time.Now(), format, arguments...)
}

func (d *deployment) noteAt(at time.Time, format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", at.Sub(d.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	d.mutex.Lock()
	d.closing = true
	d.mutex.Unlock()
	for _, e := range d.entries {
		_ = e.command.Process.Kill()
		<-e.exited
	}
	d.mutex.Lock()
	engines := make([]*runningEngine, 0, len(d.engines))
	for _, e := range d.engines {
		engines = append(engines, e)
	}
	d.mutex.Unlock()
	for _, e := range engines {
		e.stop()
	}
	d.workers.Wait()
	_ = d.store.server.Close()
	if os.Getenv("KEEP") == "" {
		// The folder has the logs of the entry processes.
		_ = os.RemoveAll(d.folder)
	}
}

// entry is an entry process of the project.
type entry struct {
	name, front, ready string
	command            *exec.Cmd
	exited             chan struct{}
	log                *os.File
}

const settingsText = `node = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","places","platform"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_bound_ms = 5000
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 58
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
transit_ms = 120
again_s = 20
require_fencing = true
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
version_all_ms = 11000
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startEntries starts entry processes by the command of the deploy file and waits until
// they are ready.
func (d *deployment) startEntries(count int) error {
	const front, ready, internal = 8564, 8563, 7740
	for i := range count {
		ip := fmt.Sprintf("%s.%d", d.network, 10+i)
		e := &entry{
			name: fmt.Sprintf("front-%d", i+1), front: fmt.Sprint(ip, ":", front), ready: fmt.Sprint(ip, ":", ready),
		}
		settings := filepath.Join(d.folder, e.name+".toml")
		text := fmt.Sprintf(settingsText, e.name, ip, zones[i%len(zones)], internal, internal+15, e.front, e.ready, d.store.address)
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		var err error
		if e.log, err = os.Create(filepath.Join(d.folder, e.name+".log")); err != nil {
			return err
		}
		// The command of deploy/system.toml.
		e.command = exec.Command("target/mulberryentry", "--metrics-port", "9464")
		e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "MULBERRYBEAM_CONFIG=" + settings}
		if err := e.start(); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	deadline := time.Now().Add(15 * time.Second)
	for len(d.store.names("entry-hosts")) < count {
		if time.Now().After(deadline) {
			return fmt.Errorf("the entry hosts are not registered")
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.note("%d entry processes are ready", count)
	// Each has learned of the others by now.
	time.Sleep(2 * time.Second)
	return nil
}

// start starts the process.
func (e *entry) start() error {
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := e.command.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func() {
		_ = e.command.Wait()
		close(e.exited)
	}()
	return nil
}

// restartEntries kills all entry processes and starts them again.
func (d *deployment) restartEntries() error {
	for _, e := range d.entries {
		_ = e.command.Process.Kill()
	}
	for _, e := range d.entries {
		<-e.exited
		command := exec.Command(e.command.Args[0], e.command.Args[1:]...)
		command.Env = e.command.Env
		e.command = command
		if err := e.start(); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// awaitReady waits until all entry processes are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range d.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// addEngine starts an engine under a new ID and registers it. Its entry is removed after
// three heartbeats of silence. restart starts another one that time after it has ended,
// unless it is 0.
func (d *deployment) addEngine(service, zone string, o engineOptions, restart time.Duration, report func(id, word string, at time.Time, what string)) (*runningEngine, error) {
	d.mutex.Lock()
	if d.closing {
		d.mutex.Unlock()
		return nil, fmt.Errorf("the deployment ends")
	}
	d.nextID++
	o.id = fmt.Sprintf("i-%03d", d.nextID)
	number := d.nextID
	d.mutex.Unlock()
	o.address = fmt.Sprintf("%s.%d:0", d.network, 50+number%200)
	e, err := startEngine(o, report)
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.engines[o.id] = e
	d.mutex.Unlock()
	models := ""
	if service == "llm" {
		models = `"stage":"colocated","models":[{"name":"model-one","version":1,"adapters":[]}],`
	}
	d.store.put("servers", o.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,%s"sequence":1,"born":%d}`,
		service, e.address, zone, models, time.Now().UnixMilli()))
	d.note("engine %s of %s registered at %s in %s", o.id, service, e.address, zone)
	d.workers.Go(func() {
		<-e.exited
		d.mutex.Lock()
		delete(d.engines, o.id)
		closing := d.closing
		d.mutex.Unlock()
		if closing {
			return
		}
		d.workers.Go(func() {
			time.Sleep(3 * heartbeat)
			d.store.remove("servers", o.id)
		})
		if restart > 0 {
			time.Sleep(restart)
			_, _ = d.addEngine(service, zone, o, restart, report)
		}
	})
	return e, nil
}

// crashAny ends one of the engines without notice.
func (d *deployment) crashAny() {
	d.mutex.Lock()
	var engine *runningEngine
	for _, e := range d.engines {
		engine = e
		break
	}
	d.mutex.Unlock()
	if engine != nil {
		d.note("engine %s crashes by itself", engine.id)
		_ = engine.command.Process.Kill()
	}
}

// reply is what a client got.
type reply struct {
	status int
	body   string
	err    error
}

// send sends a request of a client and reads the whole answer.
func send(client *http.Client, entry *entry, method, path, id string, header map[string]string, body string, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set("Mulberrybeam-Request-Id", id)
	request.Header.Set("Mulberrybeam-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Api-Key", apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(text), err: err}
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// countEvents returns the number of events in a stream.
func countEvents(body string) int { return strings.Count(body, "\n\n") }
