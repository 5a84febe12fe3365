package matcher_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/matcher"
)

func fleet() *mulberrybeam.Fleet {
	public := &mulberrybeam.Rule{Name: "open", Prefix: "/a/open/", Public: true}
	deep, shallow := &mulberrybeam.Rule{Name: "deep", Prefix: "/a/b/"}, &mulberrybeam.Rule{Name: "shallow", Prefix: "/a/"}
	workspace := mulberrybeam.WorkspaceSpec{Name: "w", Keys: []string{"k"}}
	return &mulberrybeam.Fleet{
		Complete:    true,
		Deployment:  &mulberrybeam.Deployment{Workspaces: []mulberrybeam.WorkspaceSpec{workspace}},
		Hosts:       map[string][]*mulberrybeam.Rule{"h": {public, deep, shallow}},
		Keys:        map[string]*mulberrybeam.WorkspaceSpec{"k": &workspace},
		ConfirmedAt: 10 * time.Second,
	}
}

// Guards against requests that reach the service of another route, or that run
// with a key that may have been revoked.
func TestDecide(t *testing.T) {
	cases := []struct {
		name string
		host string
		path string
		key  string
		now  time.Duration
		rule string
		code mulberrybeam.Code
	}{
		{name: "longest prefix", host: "h", path: "/a/b/c", key: "k", rule: "deep"},
		{name: "prefix ends with a slash", host: "h", path: "/a/bc", key: "k", rule: "shallow"},
		{name: "port in the host", host: "h:8080", path: "/a/b/c", key: "k", rule: "deep"},
		{name: "unknown host", host: "g", path: "/a/b/c", key: "k", code: mulberrybeam.CodeNotFound},
		{name: "unknown path", host: "h", path: "/z/", key: "k", code: mulberrybeam.CodeNotFound},
		{name: "unknown key", host: "h", path: "/a/b/", key: "x", code: mulberrybeam.CodeUnauthorized},
		{name: "no key", host: "h", path: "/a/b/", code: mulberrybeam.CodeUnauthorized},
		{name: "public without a key", host: "h", path: "/a/open/", rule: "open"},
		{name: "configuration not confirmed recently", host: "h", path: "/a/b/", key: "k", now: 15 * time.Second, code: mulberrybeam.CodePlatformDown},
		{name: "public, configuration not confirmed recently", host: "h", path: "/a/open/", now: 15 * time.Second, rule: "open"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			match, err := matcher.Decide(fleet(), matcher.Query{
				Host: c.host, Path: c.path, Key: c.key, Now: max(c.now, 11*time.Second), FailClosed: true, MaxKeyAge: 4 * time.Second,
			})
			if c.code != "" {
				is.Equal(mulberrybeam.CodeOf(err), c.code)
				return
			}
			is.NoErr(err)
			is.Equal(match.Rule.Name, c.rule)
		})
	}
}

// Guards against a 404 from a process that has no configuration yet and should
// report that it is not ready.
func TestNoConfigurationIsLoaded(t *testing.T) {
	is := is.New(t)
	_, err := matcher.Decide(nil, matcher.Query{})
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNotReady)
	incomplete := fleet()
	incomplete.Complete = false
	_, err = matcher.Decide(incomplete, matcher.Query{Host: "g"})
	is.Equal(mulberrybeam.CodeOf(err), mulberrybeam.CodeNotReady)
}

// Guards against 404 and 401 for valid requests from a process whose configuration is
// older than the one that has their route or key, and against 503 for others.
func TestOutdatedConfiguration(t *testing.T) {
	cases := []struct {
		name, path, key string
		age             time.Duration
		maxAge          time.Duration
		code            mulberrybeam.Code
	}{
		{name: "unknown path, current", path: "/z/", age: 3 * time.Second, maxAge: 4 * time.Second, code: mulberrybeam.CodeNotFound},
		{name: "unknown path, outdated", path: "/z/", age: 5 * time.Second, maxAge: 4 * time.Second, code: mulberrybeam.CodeNotReady},
		{name: "unknown path, no limit", path: "/z/", age: time.Hour, code: mulberrybeam.CodeNotFound},
		{name: "unknown key, current", path: "/a/b/", key: "x", age: 3 * time.Second, maxAge: 4 * time.Second, code: mulberrybeam.CodeUnauthorized},
		{name: "unknown key, outdated", path: "/a/b/", key: "x", age: 5 * time.Second, maxAge: 4 * time.Second, code: mulberrybeam.CodeNotReady},
		{name: "known key, outdated", path: "/a/b/", key: "k", age: 5 * time.Second, maxAge: 4 * time.Second},
		{name: "public, outdated", path: "/a/open/", age: 5 * time.Second, maxAge: 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := matcher.Decide(fleet(), matcher.Query{
				Host: "h", Path: c.path, Key: c.key, Now: 10*time.Second + c.age, MaxConfigAge: c.maxAge,
			})
			if c.code == "" {
				is.NoErr(err)
				return
			}
			is.Equal(mulberrybeam.CodeOf(err), c.code)
		})
	}
}

// Guards against requests that run without a valid key because the deployment has no
// workspace left.
func TestKeysAreCheckedWithoutWorkspaces(t *testing.T) {
	cases := []struct {
		name, path, key string
		keyless         bool
		now             time.Duration
		rule            string
		code            mulberrybeam.Code
	}{
		{name: "revoked key", path: "/a/b/", key: "k", code: mulberrybeam.CodeUnauthorized},
		{name: "no key", path: "/a/b/", code: mulberrybeam.CodeUnauthorized},
		{name: "configuration not confirmed recently", path: "/a/b/", key: "k", now: 15 * time.Second, code: mulberrybeam.CodePlatformDown},
		{name: "public", path: "/a/open/", rule: "open"},
		{name: "keyless", path: "/a/b/", keyless: true, rule: "deep"},
		{name: "keyless with a key", path: "/a/b/", key: "k", keyless: true, rule: "deep"},
		{name: "keyless, configuration not confirmed recently", path: "/a/b/", keyless: true, now: 15 * time.Second, rule: "deep"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := fleet()
			fleet.Deployment, fleet.Keys = &mulberrybeam.Deployment{Keyless: c.keyless}, nil
			match, err := matcher.Decide(fleet, matcher.Query{
				Host: "h", Path: c.path, Key: c.key, Now: max(c.now, 11*time.Second), FailClosed: true, MaxKeyAge: 4 * time.Second,
			})
			if c.code != "" {
				is.Equal(mulberrybeam.CodeOf(err), c.code)
				return
			}
			is.NoErr(err)
			is.Equal(match.Rule.Name, c.rule)
			is.True(match.Workspace == nil)
		})
	}
}

// Guards against services that get requests although their weight is 0.
func TestPickService(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	rule := &mulberrybeam.Rule{Shares: []mulberrybeam.Share{{Service: "a", Weight: 3}, {Service: "b"}, {Service: "c", Weight: 1}}}
	counts := map[mulberrybeam.ServiceName]int{}
	for range 4000 {
		service, found := matcher.PickService(random, rule)
		is.True(found)
		counts[service]++
	}
	is.Equal(counts["b"], 0)
	is.True(counts["a"] > 2800 && counts["a"] < 3200)
	_, found := matcher.PickService(random, &mulberrybeam.Rule{})
	is.True(!found)
}
