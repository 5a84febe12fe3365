// Package fleet starts a small environment on the loopback interface, with
// fakes of the platform, engines, services and context stores and with real
// entry processes. The demo and the end-to-end tests use it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mulberrybeam"
	"mulberrybeam/connection/objectcaller"
	"mulberrybeam/process/launcher"
	"mulberrybeam/process/standin/engine"
	"mulberrybeam/process/standin/platform"
	"mulberrybeam/process/standin/service"
	"mulberrybeam/process/standin/store"
)

// Names in the configuration of every fleet.
const (
	Environment = mulberrybeam.EnvironmentName("trial")
	Model       = "summary"
	Service     = "shop"
	// RepeatableCall and OrderCall are the calls of the service. OrderCall
	// is not repeatable.
	RepeatableCall = "check-stock"
	OrderCall      = "place-order"
	// FirstWorkspace and SecondWorkspace use the API keys returned by Key.
	FirstWorkspace  = mulberrybeam.WorkspaceName("divers")
	SecondWorkspace = mulberrybeam.WorkspaceName("guides")
)

// Key returns the API key of a workspace.
func Key(workspace mulberrybeam.WorkspaceName) string { return "key-of-" + string(workspace) }

// Layout configures the size and the properties of a fleet.
type Layout struct {
	Zones           []mulberrybeam.ZoneName
	EntriesPerZone  int
	EnginesPerZone  int
	ServicesPerZone int
	Stores          int
	// ColdLimit is the maximum number of requests in flight at a cold
	// engine. Fake engines crash above it.
	ColdLimit int
	// Engine modifies the settings of each fake engine.
	Engine func(*engine.Settings)
	// StoreLinkRate is the bandwidth of each store in bytes per second.
	StoreLinkRate float64
	// BalancerDelay is how long a shutdown waits before it starts to drain.
	BalancerDelay time.Duration
}

// DefaultLayout returns a layout of two stores and three zones, each with two
// entry processes, two engines and a service.
func DefaultLayout() Layout {
	return Layout{
		Zones:           []mulberrybeam.ZoneName{"a", "b", "c"},
		EntriesPerZone:  2,
		EnginesPerZone:  2,
		ServicesPerZone: 1,
		Stores:          2,
		ColdLimit:       2,
		StoreLinkRate:   20e6,
		BalancerDelay:   200 * time.Millisecond,
	}
}

// Entry is a running entry process.
type Entry struct {
	*launcher.Process
	Zone     mulberrybeam.ZoneName
	shutdown func(context.Context) error
	once     sync.Once
}

// Shutdown shuts the process down gracefully. Subsequent calls do nothing.
func (e *Entry) Shutdown(ctx context.Context) error {
	var err error
	e.once.Do(func() { err = e.shutdown(ctx) })
	return err
}

// Fleet is a running environment.
type Fleet struct {
	Layout   Layout
	Platform *platform.Platform
	Engines  map[mulberrybeam.TargetID]*engine.Engine
	Services map[mulberrybeam.TargetID]*service.Service
	Stores   map[mulberrybeam.StoreID]*store.Store
	Entries  []*Entry
	// Document is the configuration document applied at the start.
	Document string

	directory string
	cleanups  []func()
}

// Start starts a fleet and returns a function that stops it immediately,
// without draining.
func Start(layout Layout) (*Fleet, func(), error) {
	f := &Fleet{
		Layout:   layout,
		Engines:  map[mulberrybeam.TargetID]*engine.Engine{},
		Services: map[mulberrybeam.TargetID]*service.Service{},
		Stores:   map[mulberrybeam.StoreID]*store.Store{},
	}
	for _, step := range []func() error{f.startPlatform, f.startTargets, f.createEnvironment, f.startEntries} {
		if err := step(); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

func (f *Fleet) close() {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	var group sync.WaitGroup
	for _, entry := range f.Entries {
		group.Go(func() { _ = entry.Shutdown(expired) })
	}
	group.Wait()
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

func (f *Fleet) startPlatform() error {
	directory, err := os.MkdirTemp("", "mulberrybeam-fleet-")
	if err != nil {
		return err
	}
	f.directory = directory
	f.cleanups = append(f.cleanups, func() { _ = os.RemoveAll(directory) })
	secret := filepath.Join(directory, "context-secret")
	if err := os.WriteFile(secret, []byte("a context secret of a fleet on loopback"), 0o600); err != nil {
		return err
	}
	fake, cleanup, err := platform.New()
	if err != nil {
		return err
	}
	f.Platform = fake
	f.cleanups = append(f.cleanups, cleanup)
	return nil
}

func (f *Fleet) startTargets() error {
	var failures error
	for _, zone := range f.Layout.Zones {
		for i := range f.Layout.EnginesPerZone {
			failures = errors.Join(failures, f.startEngine(mulberrybeam.TargetID(fmt.Sprintf("engine-%s%d", zone, i+1))))
		}
		for i := range f.Layout.ServicesPerZone {
			failures = errors.Join(failures, f.startService(mulberrybeam.TargetID(fmt.Sprintf("%s-%s%d", Service, zone, i+1))))
		}
	}
	for i := range f.Layout.Stores {
		failures = errors.Join(failures, f.startStore(mulberrybeam.StoreID(fmt.Sprintf("store-%d", i+1))))
	}
	return failures
}

func (f *Fleet) startEngine(id mulberrybeam.TargetID) error {
	fake, cleanup, err := engine.New(
		engine.WithVersion(Model, "v1"),
		engine.WithCold(f.Layout.ColdLimit, 8, time.Second),
		engine.WithSettings(func(s *engine.Settings) {
			if f.Layout.Engine != nil {
				f.Layout.Engine(s)
			}
		}),
	)
	if err != nil {
		return err
	}
	f.Engines[id] = fake
	f.cleanups = append(f.cleanups, cleanup)
	return nil
}

func (f *Fleet) startService(id mulberrybeam.TargetID) error {
	fake, cleanup, err := service.New(service.WithRestartAfter(time.Second))
	if err != nil {
		return err
	}
	f.Services[id] = fake
	f.cleanups = append(f.cleanups, cleanup)
	return nil
}

func (f *Fleet) startStore(id mulberrybeam.StoreID) error {
	fake, cleanup, err := store.New(store.WithLinkRate(f.Layout.StoreLinkRate))
	if err != nil {
		return err
	}
	f.Stores[id] = fake
	f.cleanups = append(f.cleanups, cleanup)
	return nil
}

// Objects returns a client for the environment's objects and a function that
// closes it.
func (f *Fleet) Objects() (mulberrybeam.ObjectClient, func()) {
	return objectcaller.New(f.PlatformURL(), Environment, objectcaller.WithUserAgent("operator"))
}

// PlatformURL returns the base URL of the object API.
func (f *Fleet) PlatformURL() string { return "http://" + f.Platform.Address() }

func (f *Fleet) createEnvironment() error {
	f.Document = f.renderDocument()
	objects, cleanup := f.Objects()
	defer cleanup()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := objects.Create(ctx, mulberrybeam.Object{
		Kind: mulberrybeam.ObjectEnvironment,
		Name: string(Environment),
		Data: []byte(f.Document),
	})
	return err
}

func (f *Fleet) startEntries() error {
	for _, zone := range f.Layout.Zones {
		for i := range f.Layout.EntriesPerZone {
			if _, err := f.StartEntry(zone, fmt.Sprintf("entry-%s%d", zone, i+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartEntry starts an additional entry process. Seeds are the peer addresses
// of entry processes in its zone.
func (f *Fleet) StartEntry(zone mulberrybeam.ZoneName, host string, seeds ...string) (*Entry, error) {
	anyPort := launcher.ListenerSettings{Address: "127.0.0.1:0"}
	process, shutdown, err := launcher.Start(launcher.Settings{
		Environment:       Environment,
		Host:              host,
		Zone:              zone,
		Platform:          launcher.PlatformSettings{URL: f.PlatformURL()},
		Caller:            anyPort,
		Peer:              anyPort,
		Operator:          anyPort,
		Seeds:             seeds,
		ContextSecretFile: filepath.Join(f.directory, "context-secret"),
		Shutdown:          launcher.ShutdownSettings{BalancerDelay: f.Layout.BalancerDelay},
		ResumeGrace:       5 * time.Second,
	})
	if err != nil {
		return nil, err
	}
	entry := &Entry{Process: process, Zone: zone, shutdown: shutdown}
	f.Entries = append(f.Entries, entry)
	return entry, nil
}

// renderDocument returns the configuration document of the fleet.
func (f *Fleet) renderDocument() string {
	var text strings.Builder
	write := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format, values...) }
	write("// Written for a fleet on loopback.\n{\n  \"name\": %q, \"revision\": 1,\n  \"regions\": [{\"name\": \"local\", \"zones\": [", Environment)
	for _, zone := range f.Layout.Zones {
		write("{\"name\": %q, \"state\": \"in\"}, ", zone)
	}
	write("]}],\n  \"models\": [{\"name\": %q, \"version\": \"v1\"}],\n", Model)
	write("  \"services\": [{\"name\": %q, \"calls\": [{\"name\": %q, \"repeatable\": true}, {\"name\": %q}]}],\n", Service, RepeatableCall, OrderCall)
	write("  \"engine-groups\": [\n")
	for _, zone := range f.Layout.Zones {
		write("    {\"name\": \"engines-%s\", \"zone\": %q, \"models\": [%q], \"cold-limit\": %d, \"targets\": [", zone, zone, Model, f.Layout.ColdLimit)
		for i := range f.Layout.EnginesPerZone {
			id := mulberrybeam.TargetID(fmt.Sprintf("engine-%s%d", zone, i+1))
			write("{\"id\": %q, \"address\": %q}, ", id, f.Engines[id].Address())
		}
		write("]},\n")
	}
	write("  ],\n  \"service-groups\": [\n")
	for _, zone := range f.Layout.Zones {
		write("    {\"name\": \"services-%s\", \"zone\": %q, \"service\": %q, \"cold-limit\": 4, \"targets\": [", zone, zone, Service)
		for i := range f.Layout.ServicesPerZone {
			id := mulberrybeam.TargetID(fmt.Sprintf("%s-%s%d", Service, zone, i+1))
			write("{\"id\": %q, \"address\": %q}, ", id, f.Services[id].Address())
		}
		write("]},\n")
	}
	write("  ],\n  \"stores\": [")
	for i := range f.Layout.Stores {
		id := mulberrybeam.StoreID(fmt.Sprintf("store-%d", i+1))
		zone := f.Layout.Zones[i%len(f.Layout.Zones)]
		write("{\"id\": %q, \"zone\": %q, \"address\": %q, \"link-rate\": %g}, ", id, zone, f.Stores[id].Address(), f.Layout.StoreLinkRate)
	}
	write("],\n  \"workspaces\": [\n")
	for _, workspace := range []mulberrybeam.WorkspaceName{FirstWorkspace, SecondWorkspace} {
		hash := sha256.Sum256([]byte(Key(workspace)))
		write("    {\"name\": %q, \"key-hashes\": [%q], \"requests-per-second\": 500},\n", workspace, hex.EncodeToString(hash[:]))
	}
	write("  ],\n}\n")
	return text.String()
}
