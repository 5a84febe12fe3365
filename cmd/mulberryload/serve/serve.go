// Package serve implements the command that runs a fake server: an engine, a
// context store, a service or the platform.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/platform"
	"mulberrybeam/process/standin/service"
	"mulberrybeam/process/standin/store"
)

// Common holds the flags that all fakes share.
type Common struct {
	Address string `help:"Address to listen on, as ip:port." default:"127.0.0.1:0"`
	Faults  string `help:"Initial faults, in the JSON format of PATCH /standin/faults." placeholder:"JSON"`
}

// Engine holds the flags of an engine.
type Engine struct {
	Common       `embed:""`
	Model        map[string]string `help:"Weight version of a model. Can be repeated." placeholder:"MODEL=VERSION"`
	PrefillRate  float64           `help:"Prompt tokens processed per second." default:"20000"`
	TokenTime    time.Duration     `help:"Duration of a decoding step with one request." default:"5ms"`
	BatchTime    time.Duration     `help:"Time that each further request adds to a step." default:"200us"`
	MaxRunning   int               `help:"Maximum number of requests in the batch." default:"16"`
	MaxWaiting   int               `help:"Maximum number of requests in the queue." default:"64"`
	CacheBlocks  int               `help:"Capacity of the prefix cache in blocks." default:"4096"`
	Cold         bool              `help:"Start the engine cold."`
	ColdLimit    int               `help:"Maximum number of requests in flight while the engine is cold." default:"2"`
	WarmRequests int               `help:"Number of answers until the engine is warm." default:"4"`
	WarmTime     time.Duration     `help:"Minimum time until the engine is warm."`
	RestartAfter time.Duration     `help:"Time from a crash to a restart, 0 for none." default:"1s"`
	ReportLag    time.Duration     `help:"Age of the data in load reports." default:"300ms"`
	EventLag     time.Duration     `help:"Delay of cache events." default:"200ms"`
	EventGap     int               `help:"Drop every n-th cache event, 0 to drop none."`
	CheckFencing bool              `help:"Refuse orders with an outdated fencing token."`
	LoadTime     time.Duration     `help:"Time to load model weights." default:"400ms"`
}

// Store holds the flags of a context store.
type Store struct {
	Common      `embed:""`
	MemoryBytes int64   `help:"Capacity of the memory tier in bytes." default:"67108864"`
	DiskBytes   int64   `help:"Capacity of the disk tier in bytes." default:"268435456"`
	LinkRate    float64 `help:"Bandwidth of the link in bytes per second." default:"104857600"`
}

// Service holds the flags of a plain service.
type Service struct {
	Common       `embed:""`
	CallTime     time.Duration `help:"Duration of a call." default:"1ms"`
	MaxRunning   int           `help:"Maximum number of concurrent calls." default:"64"`
	RestartAfter time.Duration `help:"Time from a crash to a restart, 0 for none." default:"1s"`
}

// Platform holds the flags of the platform's object API.
type Platform struct {
	Common    `embed:""`
	ReadRate  float64 `help:"Limit of reads per second for all callers together, 0 for no limit." default:"2000"`
	WriteRate float64 `help:"Limit of writes per second for all callers together, 0 for no limit." default:"300"`
	History   int     `help:"Number of past changes that a new watch can replay." default:"1000"`
}

// StartFunc runs the fake that its flags describe until the context is done.
type StartFunc func(ctx context.Context, flags any, stdout io.Writer) error

// Command is the serve command.
type Command struct {
	Engine   Engine   `cmd:"" help:"Model engine."`
	Store    Store    `cmd:"" help:"Context store."`
	Service  Service  `cmd:"" help:"Plain service."`
	Platform Platform `cmd:"" help:"Object API."`

	start StartFunc
}

// New returns a command that uses start to run a fake.
func New(start StartFunc) Command { return Command{start: start} }

// AfterApply passes the function that runs a fake to the Run methods of the
// subcommands.
func (c *Command) AfterApply(selected *kong.Context) error {
	selected.Bind(c.start)
	return nil
}

// Run runs a fake engine.
func (e *Engine) Run(ctx context.Context, start StartFunc, stdout io.Writer) error {
	return start(ctx, *e, stdout)
}

// Run runs a fake context store.
func (s *Store) Run(ctx context.Context, start StartFunc, stdout io.Writer) error {
	return start(ctx, *s, stdout)
}

// Run runs a fake service.
func (s *Service) Run(ctx context.Context, start StartFunc, stdout io.Writer) error {
	return start(ctx, *s, stdout)
}

// Run runs a fake platform.
func (p *Platform) Run(ctx context.Context, start StartFunc, stdout io.Writer) error {
	return start(ctx, *p, stdout)
}

// Start runs a fake, prints its address and returns when the context is done.
func Start(ctx context.Context, flags any, stdout io.Writer) error {
	switch f := flags.(type) {
	case Engine:
		fake, closeFake, err := engine.New(engine.WithSettings(f.apply))
		return serveUntilDone(ctx, stdout, f.Faults, fake, closeFake, err)
	case Store:
		fake, closeFake, err := store.New(store.WithAddress(f.Address),
			store.WithCapacity(f.MemoryBytes, f.DiskBytes), store.WithLinkRate(f.LinkRate))
		return serveUntilDone(ctx, stdout, f.Faults, fake, closeFake, err)
	case Service:
		fake, closeFake, err := service.New(service.WithAddress(f.Address), service.WithCallTime(f.CallTime),
			service.WithMaxRunning(f.MaxRunning), service.WithRestartAfter(f.RestartAfter))
		return serveUntilDone(ctx, stdout, f.Faults, fake, closeFake, err)
	case Platform:
		fake, closeFake, err := platform.New(platform.WithAddress(f.Address),
			platform.WithRates(f.ReadRate, f.WriteRate), platform.WithHistory(f.History))
		return serveUntilDone(ctx, stdout, f.Faults, fake, closeFake, err)
	}
	return fmt.Errorf("unknown flags type %T", flags)
}

func (e Engine) apply(s *engine.Settings) {
	s.Address = e.Address
	s.Versions = e.Model
	s.PrefillRate, s.TokenTime, s.BatchTime = e.PrefillRate, e.TokenTime, e.BatchTime
	s.MaxRunning, s.MaxWaiting, s.CacheBlocks = e.MaxRunning, e.MaxWaiting, e.CacheBlocks
	s.StartCold, s.ColdLimit, s.WarmRequests, s.WarmTime = e.Cold, e.ColdLimit, e.WarmRequests, e.WarmTime
	s.RestartAfter, s.ReportLag, s.EventLag, s.EventGap = e.RestartAfter, e.ReportLag, e.EventLag, e.EventGap
	s.ChecksFencing, s.LoadTime = e.CheckFencing, e.LoadTime
}

// fake is the common interface of all fakes.
type fake[F any] interface {
	Address() string
	SetFaults(func(*F))
}

func serveUntilDone[F any](ctx context.Context, stdout io.Writer, faults string, server fake[F], closeFake func(), err error) error {
	if err != nil {
		return err
	}
	defer closeFake()
	if faults != "" {
		server.SetFaults(func(f *F) { err = json.Unmarshal([]byte(faults), f) })
		if err != nil {
			return fmt.Errorf("flag --faults: %w", err)
		}
	}
	if _, err := fmt.Fprintln(stdout, server.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

var (
	_ fake[engine.Faults]   = (*engine.Engine)(nil)
	_ fake[platform.Faults] = (*platform.Platform)(nil)
)
