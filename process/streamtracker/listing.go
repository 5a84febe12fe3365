package streamtracker

import (
	"time"

	"mulberrybeam"
)

// unlistedLimit is how long a software version may be registered without being listed in
// the store before streams begin at it all the same. The store is then out of reach, or its
// object cannot be written.
const unlistedLimit = 5 * time.Second

// serviceVersions are the software versions that streams of a service may have begun at.
type serviceVersions struct {
	// seenAt is when a version was last registered or in use.
	seenAt map[mulberrybeam.SoftwareVersion]time.Duration
	// unlistedSince has the versions that the store does not list as far as this process
	// knows, and since when that is so.
	unlistedSince map[mulberrybeam.SoftwareVersion]time.Duration
}

// versions returns the versions of a service. The mutex must be held.
func (t *Tracker) versions(service mulberrybeam.ServiceName) *serviceVersions {
	versions := t.services[service]
	if versions == nil {
		versions = &serviceVersions{
			seenAt:        map[mulberrybeam.SoftwareVersion]time.Duration{},
			unlistedSince: map[mulberrybeam.SoftwareVersion]time.Duration{},
		}
		t.services[service] = versions
	}
	return versions
}

// see records that a version is registered or in use.
func (v *serviceVersions) see(software mulberrybeam.SoftwareVersion, now time.Duration) {
	if _, seen := v.seenAt[software]; !seen {
		v.unlist(software, now)
	}
	v.seenAt[software] = now
}

func (v *serviceVersions) unlist(software mulberrybeam.SoftwareVersion, now time.Duration) {
	if _, unlisted := v.unlistedSince[software]; !unlisted {
		v.unlistedSince[software] = now
	}
}

func (v *serviceVersions) remove(software mulberrybeam.SoftwareVersion) {
	delete(v.seenAt, software)
	delete(v.unlistedSince, software)
}

// List records which versions the store lists for a service.
func (t *Tracker) List(snapshot mulberrybeam.StreamSnapshot) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	versions := t.versions(snapshot.Service)
	listed := map[mulberrybeam.SoftwareVersion]bool{}
	for _, stored := range snapshot.Versions {
		listed[stored.Software] = true
		if _, seen := versions.seenAt[stored.Software]; !seen {
			versions.see(stored.Software, now)
		}
	}
	for software := range versions.seenAt {
		if listed[software] {
			delete(versions.unlistedSince, software)
		} else {
			versions.unlist(software, now)
		}
	}
}

// Unlist records that the store may have lost what it listed.
func (t *Tracker) Unlist() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, versions := range t.services {
		for software := range versions.seenAt {
			delete(versions.unlistedSince, software)
			versions.unlist(software, t.now())
		}
	}
}

// Unlisted returns for how long a version of a service has been known that the store does
// not list, and whether it lists any. The time is 0 if it lists all.
func (t *Tracker) Unlisted(service mulberrybeam.ServiceName) (longest time.Duration, some bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	versions := t.versions(service)
	for _, software := range t.current(service) {
		if since, unlisted := versions.unlistedSince[software]; unlisted {
			longest = max(longest, t.now()-since, 1)
		} else {
			some = true
		}
	}
	return longest, some
}

// New reports whether no stream should begin at a software version yet, because the store
// does not list it. A host that is asked to go on with a stream could take another version
// for the only one.
func (t *Tracker) New(service mulberrybeam.ServiceName, software mulberrybeam.SoftwareVersion) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	versions := t.versions(service)
	if _, seen := versions.seenAt[software]; !seen {
		return len(versions.seenAt) > 0
	}
	since, unlisted := versions.unlistedSince[software]
	return unlisted && t.now()-since < unlistedLimit
}

// Only returns the software version that streams of a service began at, if the store lists
// it and neither the store nor this process knows another one.
func (t *Tracker) Only(service mulberrybeam.ServiceName) (mulberrybeam.SoftwareVersion, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.current(service)
	if len(current) != 1 {
		return "", false
	}
	_, unlisted := t.versions(service).unlistedSince[current[0]]
	return current[0], !unlisted
}
