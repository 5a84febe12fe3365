//go:build review

package harness

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// readyTimeout is how long a host may take to become ready.
const readyTimeout = 10 * time.Second

// Host is an entry host.
type Host struct {
	Name, Zone string
	// Address is where the host takes callers' requests.
	Address string
	// Store is the host's way to the platform's store.
	Store *StoreFront

	c        *Case
	ready    string
	settings string
	output   string
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
}

// settingsText is the settings file of a small deployment, with the bounds of
// stoyanov-oars.
const settingsText = `node = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "rhodope"
internal_ports = [7580, 7595]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","places","platform"]
[zones]
smolyan = "rhodope"
devin = "rhodope"
chepelare = "rhodope"
[listen]
front = "%[2]s:8749"
ready = "%[2]s:8741"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
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
address = %[4]q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// StartHost starts an entry process with the start command of the deploy file and
// waits until it is ready.
func (c *Case) StartHost(name, zone string, platform *Platform) (*Host, error) {
	front, err := c.newStoreFront(platform)
	if err != nil {
		return nil, err
	}
	ip := c.newIP()
	h := &Host{
		Name: name, Zone: zone, Address: ip + ":8749", Store: front, c: c, ready: ip + ":8741",
		settings: filepath.Join(c.dir, name+".toml"), output: filepath.Join(c.dir, name+".log"),
	}
	if err := os.WriteFile(h.settings, fmt.Appendf(nil, settingsText, name, ip, zone, front.Address), 0o600); err != nil {
		return nil, err
	}
	if err := h.spawn(); err != nil {
		return nil, err
	}
	c.onClose(func() {
		h.Kill()
		if folder := os.Getenv("KEEP_LOGS"); folder != "" {
			text, _ := os.ReadFile(h.output)
			_ = os.WriteFile(filepath.Join(folder, name+".log"), text, 0o600)
		}
	})
	c.Log("host %s (zone %s) starts at %s", name, zone, h.Address)
	return h, h.awaitReady()
}

// spawn starts the process.
func (h *Host) spawn() error {
	output, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.c.command[0], h.c.command[1:]...)
	command.Env = append(os.Environ(), "MULBERRYBEAM_CONFIG="+h.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	return nil
}

func (h *Host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.Ready() {
			return nil
		}
	}
	return fmt.Errorf("host %s does not become ready", h.Name)
}

// Ready asks the host the question that the platform asks.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// The process may have ended already.
	_ = h.command.Process.Signal(signal)
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	h.mutex.Lock()
	exited := h.exited
	h.mutex.Unlock()
	<-exited
}

// Restart kills the process and starts it again after a delay.
func (h *Host) Restart(after time.Duration) error {
	h.Kill()
	time.Sleep(after)
	return h.spawn()
}

// Running reports whether the process has not ended.
func (h *Host) Running() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}
