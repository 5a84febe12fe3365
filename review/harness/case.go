//go:build review

// Package harness runs the scripted cases of the review. It starts real entry
// processes against stand-ins of the platform's store, engines and callers, all on
// loopback addresses, and ends them again.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 112 * time.Second

// Case is one run of a scripted case.
type Case struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	command  []string
	dir      string
	network  string
	started  time.Time
	mutex    sync.Mutex
	record   *os.File
	nextIP   int
	cleanups []func()
}

// Main runs a case and exits with its result. The arguments of the program are the
// folder for the record and the start command of the deploy file. play returns a
// line for each time that the rule was broken.
func Main(play func(c *Case) (broken []string, err error)) {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER COMMAND...")
		os.Exit(exitFailed)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", command: os.Args[2:], started: time.Now()}
	if err := c.open(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- c.play(play) }()
	code := exitFailed
	select {
	case code = <-done:
	case <-stop:
		c.Log("ended by a signal")
	case <-time.After(caseLimit):
		c.Log("the case took too long")
	}
	c.close()
	os.Exit(code)
}

func (c *Case) play(play func(c *Case) ([]string, error)) int {
	c.Log("disruption: %t", c.Trouble)
	broken, err := play(c)
	if err != nil {
		c.Log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range broken {
		c.Log("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	c.Log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

func (c *Case) open(folder string) error {
	var err error
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return err
	}
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	// Each host has an address of its own, so that all can use the same ports.
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(100), 30+rand.IntN(100))
		if listener, err := net.Listen("tcp", c.network+"1:0"); err == nil {
			return listener.Close()
		}
	}
	return fmt.Errorf("no free loopback network")
}

func (c *Case) close() {
	c.mutex.Lock()
	cleanups := c.cleanups
	c.cleanups = nil
	c.mutex.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	_ = os.RemoveAll(c.dir)
	_ = c.record.Close()
}

// onClose registers a function that runs at the end of the case.
func (c *Case) onClose(cleanup func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cleanups = append(c.cleanups, cleanup)
}

// newIP returns a loopback address that no other part of the case uses.
func (c *Case) newIP() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextIP++
	return fmt.Sprint(c.network, c.nextIP)
}

// Since returns the time since the start of the case.
func (c *Case) Since() time.Duration { return time.Since(c.started) }

// Log adds a line to the record.
func (c *Case) Log(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f  %s\n", c.Since().Seconds(), fmt.Sprintf(format, values...))
}
