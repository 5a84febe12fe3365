package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: its process and its proxied connection to the store.
type host struct {
	name, zone    string
	binary        string
	settingsFile  string
	logFile       string
	callerAddress string
	readyAddress  string
	storeLink     *Proxy

	mutex   sync.Mutex
	command *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
}

// newHost creates a host and writes its settings file. It does not start the
// process.
func newHost(options Options, dir, name, zone, store string) (*host, error) {
	link, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	caller, ready, peer, err := freePorts()
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, zone: zone, binary: options.Entry, storeLink: link,
		settingsFile: filepath.Join(dir, name+".toml"), logFile: filepath.Join(dir, name+".log"),
		callerAddress: fmt.Sprint("127.0.0.1:", caller), readyAddress: fmt.Sprint("127.0.0.1:", ready),
	}
	ratio, retries := 0.2, 100
	if slices.Contains(options.TrafficFaults, FaultSilence) {
		// Silent targets exhaust this budget, so that no other target may take
		// their requests on.
		ratio, retries = 0.02, 5
	}
	text := fmt.Sprintf(`node = %q
ip = "127.0.0.1"
zone = %q
internal_ports = [%d, %d]
[zones]
a = "r"
b = "r"
[listen]
front = %q
ready = %q
[limits]
memory_mb = 134
[bounds]
grace_s = %.1f
fail_closed = true
revoke_ms = %d
retry_budget_ratio = %g
budget_window_s = 10
budget_min_retries = %d
cold_overshoot = 1.5
cold_slack = 5
require_fencing = true
lease_ms = 3000
version_ms = 8000
[platform]
address = %q
`, name, zone, peer, peer, h.callerAddress, h.readyAddress, stopLimit.Seconds(), revokeLimit.Milliseconds(), ratio, retries, link.Address())
	return h, os.WriteFile(h.settingsFile, []byte(text), 0o600)
}

// start starts the process and appends its output to the log file.
func (h *host) start() error {
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.binary, "--settings", h.settingsFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	h.mutex.Lock()
	h.command, h.exited = command, exited
	h.mutex.Unlock()
	go func() {
		// Wait returns an error for a killed process, which is expected here.
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process.
func (h *host) signal(signal syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// The error is ignored, because the process may have exited already.
	_ = h.command.Process.Signal(signal)
}

// done returns a channel that is closed when the current process has exited.
func (h *host) done() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.exited
}

// kill sends SIGKILL to the process and waits until it has exited.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done()
}

// stop sends SIGTERM to the process and returns the time until it exited. A
// process that does not exit in time is killed.
func (h *host) stop() time.Duration {
	const killAfter = stopLimit + 2*time.Second
	begin := time.Now()
	h.signal(syscall.SIGTERM)
	select {
	case <-h.done():
	case <-time.After(killAfter):
		h.kill()
	}
	return time.Since(begin)
}
