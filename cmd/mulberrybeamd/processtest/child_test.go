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

// programs is the directory of the programs that TestMain builds.
var programs string

// launches carries the commands to the one thread that starts them. The kernel
// kills a child when the thread that started it ends, so that thread must live as
// long as the test binary. Children then also end if the test binary is killed at
// its time limit.
var launches = make(chan launch)

type launch struct {
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
	folder, err := os.MkdirTemp("", "mulberrybeam-processes-")
	if err != nil {
		return 1, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "mulberrybeam/cmd/mulberrybeamd", "mulberrybeam/cmd/mulberryload")
	if output, err := build.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	programs = folder
	go func() {
		runtime.LockOSThread()
		for l := range launches {
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
	// ended is closed when the process has ended.
	ended chan struct{}
}

// spawn starts a program and reads its standard output, or its log on standard
// error if readsLog is set. It kills the process at the end of the test.
func spawn(t *testing.T, name, program string, readsLog bool, arguments ...string) *child {
	t.Helper()
	command := exec.Command(filepath.Join(programs, program), arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pipe := command.StdoutPipe
	if readsLog {
		pipe = command.StderrPipe
	} else {
		command.Stderr = os.Stderr
	}
	output, err := pipe()
	if err != nil {
		t.Fatal(err)
	}
	l := launch{command, make(chan error, 1)}
	launches <- l
	if err := <-l.err; err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	c := &child{name: name, command: command, lines: make(chan string, 1000), ended: make(chan struct{})}
	go c.read(output)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-c.ended
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
	close(c.ended)
}

// line waits for the next line that the process prints.
func (c *child) line(t *testing.T) string {
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

// wait returns the exit code of the process, which must end within the limit.
func (c *child) wait(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-c.ended:
	case <-time.After(limit):
		t.Fatalf("%s is still running after %v", c.name, limit)
	}
	return c.command.ProcessState.ExitCode()
}
