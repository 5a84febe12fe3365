// Package processtest_test tests entry processes and stand-ins end to end, each
// in an operating system process of its own, over loopback.
package processtest_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// programDir is the directory of the programs that TestMain builds.
var programDir string

// startRequests carries the commands to the one thread that starts them. The
// kernel kills a child when the thread that started it ends, so that thread must
// live as long as the test binary. Children then also end if the test binary is
// killed at its time limit.
var startRequests = make(chan startRequest)

type startRequest struct {
	command *exec.Cmd
	err     chan error
}

func TestMain(m *testing.M) {
	code, err := runTests(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func runTests(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "mulberrybeam-processes-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "mulberrybeam/cmd/mulberrybeamd", "mulberrybeam/cmd/mulberryload")
	if output, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	programDir = dir
	go func() {
		runtime.LockOSThread()
		for l := range startRequests {
			l.err <- l.command.Start()
		}
	}()
	return m.Run(), nil
}

// child is a process that a test has started.
type child struct {
	name    string
	command *exec.Cmd
	// lines receives the lines that the process prints.
	lines chan string
	// exited is closed when the process has exited.
	exited chan struct{}
}

// startChild starts a program and reads its standard output, or its log on
// standard error if readsStderr is set. It kills the process at the end of the
// test.
func startChild(t *testing.T, name, program string, readsStderr bool, arguments ...string) *child {
	t.Helper()
	command := exec.Command(filepath.Join(programDir, program), arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pipe := command.StdoutPipe
	if readsStderr {
		pipe = command.StderrPipe
	} else {
		command.Stderr = os.Stderr
	}
	output, err := pipe()
	if err != nil {
		t.Fatal(err)
	}
	l := startRequest{command, make(chan error, 1)}
	startRequests <- l
	if err := <-l.err; err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	c := &child{name: name, command: command, lines: make(chan string, 1000), exited: make(chan struct{})}
	go c.read(output)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-c.exited
	})
	return c
}

func (c *child) read(output io.Reader) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		select {
		case c.lines <- scanner.Text():
		default:
		}
	}
	close(c.lines)
	_ = c.command.Wait()
	close(c.exited)
}

// readLine waits for the next line that the process prints.
func (c *child) readLine(t *testing.T) string {
	t.Helper()
	select {
	case line, open := <-c.lines:
		if open {
			return line
		}
		t.Fatalf("%s exited before it printed its addresses", c.name)
	case <-time.After(10 * time.Second):
		t.Fatalf("%s printed nothing in time", c.name)
	}
	return ""
}

// signal sends a signal to the process.
func (c *child) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := c.command.Process.Signal(signal); err != nil {
		t.Fatalf("signal %v to %s: %v", signal, c.name, err)
	}
	t.Logf("%s: %v to %s", time.Now().Format("05.000"), signal, c.name)
}

// awaitExit returns the exit code of the process, which must end within the limit.
func (c *child) awaitExit(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-c.exited:
	case <-time.After(limit):
		t.Fatalf("%s is still running after %v", c.name, limit)
	}
	return c.command.ProcessState.ExitCode()
}
