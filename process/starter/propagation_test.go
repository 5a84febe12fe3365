package starter_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/followerchooser"
	"mulberrybeam/process/standin/metastore"
	"mulberrybeam/process/starter"
)

// sharedHost is a running entry host with its own path to the store.
type sharedHost struct {
	log    *logBuffer
	calls  atomic.Int64
	cut    atomic.Bool
	server *httptest.Server
}

// startSharedHost starts an entry host and stops it at the end of the test.
func startSharedHost(t *testing.T, store *metastore.Store, host mulberrybeam.EntryHost) *sharedHost {
	h := &sharedHost{log: &logBuffer{}}
	h.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		h.calls.Add(1)
		if h.cut.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(writer, request)
	}))
	process, err := starter.Start(mulberrybeam.HostSettings{
		ID: host.ID, Zone: host.Zone, StoreAddress: strings.TrimPrefix(h.server.URL, "http://"),
		CallerAddress: address(freePort(t)), ReadyAddress: address(freePort(t)), PeerAddress: host.Address,
		Bounds: mulberrybeam.HostBounds{
			FailClosed: true, RevokeWithin: 5 * time.Second, ConfigWithin: 3 * time.Second, DrainWithin: 3 * time.Second,
			EvacuateWithin: 5 * time.Second, VersionWithin: 8 * time.Second, Grace: 4 * time.Second,
		},
	}, 0, h.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Shutdown()
		h.server.CloseClientConnections()
		h.server.Close()
	})
	return h
}

// awaitLog waits until the log has the text. It fails the test if that takes too long.
func (h *sharedHost) awaitLog(t *testing.T, text string) {
	t.Helper()
	for range 1000 {
		if strings.Contains(h.log.String(), text) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%q is not in the log:\n%s", text, h.log.String())
}

// register adds 17 hosts of a zone to the store. It returns one that is not a follower
// and the hosts that it asks.
func register(t *testing.T, store *metastore.Store) (mulberrybeam.EntryHost, []mulberrybeam.EntryHost) {
	var peers []mulberrybeam.EntryHost
	for i := range 17 {
		host := mulberrybeam.EntryHost{ID: mulberrybeam.ProcessID(fmt.Sprint("front-", i)), Zone: "a", Address: address(freePort(t))}
		peers = append(peers, host)
		store.Put("entry-hosts", string(host.ID), fmt.Sprintf(`{"zone":"a","address":%q}`, host.Address))
	}
	var asker mulberrybeam.EntryHost
	for _, host := range peers {
		if !followerchooser.Plan(host.ID, "a", peers).Follower {
			asker = host
		}
	}
	return asker, followerchooser.Plan(asker.ID, "a", peers).Sources
}

// Guards against hosts that do not reach their follower at its peer address, that
// call the store nevertheless, or that miss changes when the follower loses the
// store.
func TestHostAsksFollower(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	store.Put("config", "main", `{"version":3,"routes":[],"services":[],"tenants":[]}`)
	asker, sources := register(t, store)
	// The other follower and all other hosts are gone.
	follower := startSharedHost(t, store, sources[1])
	asking := startSharedHost(t, store, asker)
	asking.awaitLog(t, "asks the host for the store's changes")
	time.Sleep(6 * time.Second) // the calls to the store that wait for changes end
	before, followed := asking.calls.Load(), follower.calls.Load()
	store.Put("evacuations", "b", `{}`)
	asking.awaitLog(t, "zone taken out")
	time.Sleep(3 * time.Second)
	t.Logf("calls in 3 s: %d of the host, %d of its follower", asking.calls.Load()-before, follower.calls.Load()-followed)
	is.True(asking.calls.Load()-before <= 2)
	is.True(follower.calls.Load()-followed >= 10)

	follower.cut.Store(true)
	follower.server.CloseClientConnections()
	store.Remove("evacuations", "b")
	changedAt := time.Now()
	asking.awaitLog(t, "zone brought back")
	is.True(time.Since(changedAt) < 3*time.Second)
}

// Guards against a host that does not start, or that asks others but cannot be asked,
// because another process has its peer port.
func TestHostWithoutPeerPortFollowsStore(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	store.Put("config", "main", `{"version":3,"routes":[],"services":[],"tenants":[]}`)
	asker, sources := register(t, store)
	taken, err := net.Listen("tcp", asker.Address)
	is.NoErr(err)
	t.Cleanup(func() { _ = taken.Close() })
	follower, err := net.Listen("tcp", sources[0].Address)
	is.NoErr(err)
	t.Cleanup(func() { _ = follower.Close() })
	host := startSharedHost(t, store, asker)
	host.awaitLog(t, "follows the store by itself")
	is.NoErr(follower.(*net.TCPListener).SetDeadline(time.Now().Add(4 * time.Second)))
	_, err = follower.Accept()
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	store.Put("evacuations", "b", `{}`)
	host.awaitLog(t, "zone taken out")
}
