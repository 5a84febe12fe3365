//go:build review2

package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineOptions configure an engine, which is a process of its own.
type engineOptions struct {
	id       string
	address  string
	events   int
	interval time.Duration
	// framed makes answers come in chunks. Otherwise they have neither a length nor
	// chunks and end with their connection.
	framed bool
	// deadly is the part of a prompt on which the engine crashes when it has begun to
	// write the answer.
	deadly string
	// work is the time for a plain request, and firstToken the time until a stream begins.
	work, firstToken time.Duration
}

func (o engineOptions) arguments() []string {
	return []string{
		"engine", "-id", o.id, "-address", o.address, "-events", strconv.Itoa(o.events), "-interval", o.interval.String(),
		"-framed=" + strconv.FormatBool(o.framed), "-deadly", o.deadly, "-work", o.work.String(), "-first", o.firstToken.String(),
	}
}

// runEngine runs an engine until its standard input ends. It reports arrivals and
// ends of requests on its standard output.
func runEngine(arguments []string) {
	var o engineOptions
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	flags.StringVar(&o.id, "id", "", "")
	flags.StringVar(&o.address, "address", "", "")
	flags.IntVar(&o.events, "events", 10, "")
	flags.DurationVar(&o.interval, "interval", 40*time.Millisecond, "")
	flags.BoolVar(&o.framed, "framed", true, "")
	flags.StringVar(&o.deadly, "deadly", "", "")
	flags.DurationVar(&o.work, "work", 20*time.Millisecond, "")
	flags.DurationVar(&o.firstToken, "first", 0, "")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	e := &engine{engineOptions: o}
	e.report("listening", listener.Addr().String())
	go func() {
		// The engine ends with the process that started it.
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	_ = http.Serve(listener, e)
}

type engine struct {
	engineOptions
	mutex sync.Mutex
}

// report writes a line in one system call, so that it is not lost in a crash.
func (e *engine) report(word, what string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, _ = os.Stdout.WriteString(fmt.Sprintf("%s %d %s\n", word, time.Now().UnixNano(), what))
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Mulberrybeam-Request-Id")
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if expected := request.Header.Get("Mulberrybeam-Expect-Instance"); expected != "" && expected != e.id {
		writer.Header().Set("Mulberrybeam-Instance-Id", e.id)
		writer.Header().Set("Mulberrybeam-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.report("run", id)
	if request.Header.Get("Mulberrybeam-Prompt-Prefix") == "" {
		e.answer(writer, id)
	} else {
		e.stream(writer, request, id)
	}
	e.report("end", id)
}

func (e *engine) answer(writer http.ResponseWriter, id string) {
	time.Sleep(e.work)
	writer.Header().Set("Mulberrybeam-Request-Id", id)
	writer.Header().Set("Mulberrybeam-Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(writer, "answer to "+id)
}

func (e *engine) stream(writer http.ResponseWriter, request *http.Request, id string) {
	time.Sleep(e.firstToken)
	send, finish := e.begin(writer, request, id)
	defer finish()
	// A resumed stream goes on after the last event that the client has.
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= e.events; number++ {
		if !send(fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", number, number, id)) {
			return
		}
		if e.deadly != "" && strings.Contains(request.Header.Get("Mulberrybeam-Prompt-Prefix"), e.deadly+":") {
			e.report("crash", id)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
		time.Sleep(e.interval)
	}
}

// begin writes the head of a stream. It returns functions that write an event and end
// the stream.
func (e *engine) begin(writer http.ResponseWriter, request *http.Request, id string) (send func(string) bool, finish func()) {
	if e.framed {
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.Header().Set("Mulberrybeam-Request-Id", id)
		writer.Header().Set("Mulberrybeam-Response-Stamp", "stamp-"+id)
		return func(text string) bool {
			_, err := io.WriteString(writer, text)
			_ = http.NewResponseController(writer).Flush()
			return err == nil && request.Context().Err() == nil
		}, func() {}
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return func(string) bool { return false }, func() {}
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nMulberrybeam-Request-Id: " + id +
		"\r\nMulberrybeam-Response-Stamp: stamp-" + id + "\r\n\r\n"
	return func(text string) bool {
		_, err := io.WriteString(conn, head+text)
		head = ""
		return err == nil
	}, func() { _ = conn.Close() }
}

// runningEngine is an engine process.
type runningEngine struct {
	engineOptions
	command *exec.Cmd
	stdin   io.Closer
	exited  chan struct{}
}

// startEngine starts an engine and calls report for each line that it writes. It
// returns once the engine listens.
func startEngine(o engineOptions, report func(id, word string, at time.Time, what string)) (*runningEngine, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &runningEngine{engineOptions: o, command: exec.Command(program, o.arguments()...), exited: make(chan struct{})}
	e.command.Stderr = os.Stderr
	if e.stdin, err = e.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	go func() {
		defer close(e.exited)
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			fields := strings.SplitN(lines.Text(), " ", 3)
			if len(fields) != 3 {
				continue
			}
			nanos, _ := strconv.ParseInt(fields[1], 10, 64)
			if fields[0] == "listening" {
				listening <- fields[2]
			}
			report(o.id, fields[0], time.Unix(0, nanos), fields[2])
		}
		_ = e.command.Wait()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	select {
	case e.address = <-listening:
		return e, nil
	case <-e.exited:
		return nil, fmt.Errorf("engine %s ended at once", o.id)
	case <-ctx.Done():
		e.stop()
		return nil, fmt.Errorf("engine %s does not listen", o.id)
	}
}

// stop ends the engine.
func (e *runningEngine) stop() {
	_ = e.command.Process.Kill()
	<-e.exited
}
