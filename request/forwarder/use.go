package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mulberrybeam"
)

// Parameters of the usage rates.
const (
	// usageSmoothing is the weight of the newest interval in the moving
	// average, which thereby covers the last few seconds.
	usageSmoothing = 0.3
	// minReportedRate is the rate at or below which an idle link or workspace
	// is no longer reported.
	minReportedRate = 0.01
)

// usageMeter measures this process's rates of bytes per link and of requests
// per workspace. The control loop never locks its mutex.
type usageMeter struct {
	mutex          sync.Mutex
	bytes          map[mulberrybeam.StoreID]float64
	requests       map[mulberrybeam.WorkspaceName]float64
	linkRates      map[mulberrybeam.StoreID]float64
	workspaceRates map[mulberrybeam.WorkspaceName]float64
}

func (u *usageMeter) countRequest(workspace mulberrybeam.WorkspaceName) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.requests == nil {
		u.requests = map[mulberrybeam.WorkspaceName]float64{}
	}
	u.requests[workspace]++
}

func (u *usageMeter) countBytes(store mulberrybeam.StoreID, bytes int64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.bytes == nil {
		u.bytes = map[mulberrybeam.StoreID]float64{}
	}
	u.bytes[store] += float64(bytes)
}

func (u *usageMeter) linkRate(store mulberrybeam.StoreID) float64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.linkRates[store]
}

// measure ends a measuring interval and returns the updated rates.
func (u *usageMeter) measure(interval time.Duration) mulberrybeam.UsageMeasured {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.linkRates = smooth(u.linkRates, u.bytes, interval)
	u.workspaceRates = smooth(u.workspaceRates, u.requests, interval)
	u.bytes, u.requests = nil, nil
	return mulberrybeam.UsageMeasured{Links: u.linkRates, Workspaces: u.workspaceRates}
}

// smooth returns the moving averages after an interval. It returns a new map,
// because the control loop has a reference to the previous one.
func smooth[K comparable](rates, amounts map[K]float64, interval time.Duration) map[K]float64 {
	next := map[K]float64{}
	for key, rate := range rates {
		if rate *= 1 - usageSmoothing; rate > minReportedRate {
			next[key] = rate
		}
	}
	for key, amount := range amounts {
		next[key] += usageSmoothing * amount / interval.Seconds()
	}
	return next
}

func (f *Forwarder) measureLoop(ctx context.Context) {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.Post(f.usage.measure(measureInterval))
		case <-ctx.Done():
			return
		}
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
