package soaker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberrybeam/process/standin/metastore"
)

const (
	// restoreGapFactor is the maximum time between two restores of the store, as a
	// multiple of that of the other faults.
	restoreGapFactor = 5
	minCopyAge       = 100 * time.Millisecond
	youngCopyAge     = time.Second
	maxCopyAge       = 10 * time.Second
	// minRewriteDelay and maxRewriteDelay limit the time after a restore at which operators
	// and targets write again what the copy lacks.
	minRewriteDelay = 50 * time.Millisecond
	maxRewriteDelay = 800 * time.Millisecond
)

// operator writes to the store for operators and targets, and keeps what they wrote last,
// since they write it again when the store has lost it.
type operator struct {
	store *metastore.Store

	mutex sync.Mutex
	// written has the specs by kind and name, which are empty for removed objects.
	written map[objectName]string
}

type objectName struct{ kind, name string }

func newOperator(store *metastore.Store) *operator {
	return &operator{store: store, written: map[objectName]string{}}
}

func (o *operator) put(kind, name, spec string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.written[objectName{kind, name}] = spec
	o.store.Put(kind, name, spec)
}

func (o *operator) remove(kind, name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.written[objectName{kind, name}] = ""
	o.store.Remove(kind, name)
}

// writeAgain writes what the store lacks or has in an older form.
func (o *operator) writeAgain() {
	o.mutex.Lock()
	names := make([]objectName, 0, len(o.written))
	for name := range o.written {
		names = append(names, name)
	}
	o.mutex.Unlock()
	slices.SortFunc(names, func(a, b objectName) int { return strings.Compare(a.kind+"/"+a.name, b.kind+"/"+b.name) })
	for _, name := range names {
		o.mutex.Lock()
		wanted := o.written[name]
		stored, found := o.store.Get(name.kind, name.name)
		switch {
		case wanted == "" && found:
			o.store.Remove(name.kind, name.name)
		case wanted != "" && stored != wanted:
			o.store.Put(name.kind, name.name, wanted)
		}
		o.mutex.Unlock()
	}
}

// restoreStore has the store come back from a copy, or from two, one soon after the other.
func restoreStore(r *run, random *rand.Rand) {
	count := 1 + random.IntN(3)/2
	for range count {
		age := randomBetween(random, minCopyAge, maxCopyAge)
		if random.IntN(2) == 0 {
			age = randomBetween(random, minCopyAge, youngCopyAge)
		}
		copied := r.store.Copy()
		r.pause(age)
		end := r.startDisruption("", disruptionRestore)
		r.store.Restore(copied)
		// The copy knows nothing of a history that was cut short.
		r.store.SetFaults(metastore.Faults{})
		r.pause(randomBetween(random, minRewriteDelay, maxRewriteDelay))
		r.operator.writeAgain()
		end()
	}
}

func randomBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
