package starter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/starter"
)

// Guards against a call that the store dropped without an error and that is
// noticed only after the deadline for the changes it waits for, and against API
// keys that are refused between two confirmations.
func TestWaitsMeetDeadlines(t *testing.T) {
	const slack = 700 * time.Millisecond // delay of a waiting call
	for name, bounds := range map[string]mulberrybeam.HostBounds{
		"usual": {FailClosed: true, RevokeWithin: 5 * time.Second, ConfigWithin: 2 * time.Second, EvacuateWithin: 5 * time.Second, VersionWithin: 8 * time.Second},
		"wide":  {FailClosed: true, RevokeWithin: 9 * time.Second, ConfigWithin: 3 * time.Second, EvacuateWithin: 50 * time.Second, VersionWithin: 90 * time.Second},
		"tight": {FailClosed: true, RevokeWithin: 2 * time.Second, ConfigWithin: time.Second, EvacuateWithin: 3 * time.Second, VersionWithin: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, feed := range starter.Feeds(bounds) {
				is.True(feed.Wait > 0 && feed.Wait <= 30*time.Second)
				switch feed.Kind {
				case mulberrybeam.ObjectDeployment:
					is.True(2*feed.Wait+slack <= starter.MaxConfigAge(bounds)) // else 503 for unknown routes in calm
					is.True(feed.Wait+slack <= bounds.ConfigWithin)
					is.True(10*2*feed.Wait < 8*bounds.RevokeWithin)
				case mulberrybeam.ObjectEvacuation:
					is.True(feed.Wait+slack < bounds.EvacuateWithin)
				case mulberrybeam.ObjectWeights:
					is.True(feed.Wait+slack < bounds.VersionWithin)
				}
			}
		})
	}
}

// Guards against a number of calls to the store that grows with the square of
// the fleet's size, since each change costs one call by every host.
func TestPausesGrowWithFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(starter.ScaleBatchDelay(100*time.Millisecond, 9), 100*time.Millisecond)
	is.Equal(starter.ScaleBatchDelay(100*time.Millisecond, 80), 500*time.Millisecond)
	is.Equal(starter.ScaleBatchDelay(0, 80), time.Duration(0))
	for _, feed := range starter.Feeds(mulberrybeam.HostBounds{}) {
		// A pause beyond this would delay a drained target past its deadline.
		if feed.Kind == mulberrybeam.ObjectTarget {
			is.Equal(feed.Pause(16), 150*time.Millisecond)
			is.Equal(feed.Pause(380), time.Second)
		}
	}
}

// Guards against a host that relies on a follower for so long that a call to the
// store afterwards comes too late, and against followers whose confirmations are
// regularly too old.
func TestPoliciesMeetDeadlines(t *testing.T) {
	is := is.New(t)
	const directCall = 700 * time.Millisecond
	bounds := mulberrybeam.HostBounds{
		FailClosed: true, RevokeWithin: 5 * time.Second, ConfigWithin: 3 * time.Second, DrainWithin: 3 * time.Second,
		EvacuateWithin: 5 * time.Second, VersionWithin: 8 * time.Second,
	}
	policies := starter.Policies(bounds)
	is.Equal(len(policies), len(starter.Feeds(bounds)))
	is.True(policies[mulberrybeam.ObjectDeployment].MaxAge+directCall < bounds.ConfigWithin)
	is.True(policies[mulberrybeam.ObjectTarget].MaxAge+directCall < bounds.DrainWithin)
	is.True(policies[mulberrybeam.ObjectEvacuation].MaxAge+directCall < bounds.EvacuateWithin)
	is.True(policies[mulberrybeam.ObjectWeights].MaxAge+directCall < bounds.VersionWithin)
	for _, policy := range policies {
		is.True(2*policy.FollowerWait+500*time.Millisecond < policy.MaxAge)
	}
	// Deadlines that leave no time for it keep the kind with every host.
	bounds.DrainWithin, bounds.ConfigWithin = 2*time.Second, time.Second
	policies = starter.Policies(bounds)
	is.Equal(policies[mulberrybeam.ObjectTarget], mulberrybeam.PropagationPolicy{})
	is.Equal(policies[mulberrybeam.ObjectDeployment], mulberrybeam.PropagationPolicy{})
}

// Guards against an order or a renewal of the leader that is seen too late, and
// against calls for rollouts where they are not in use.
func TestFeedsOfRollouts(t *testing.T) {
	is := is.New(t)
	for _, feed := range starter.Feeds(mulberrybeam.HostBounds{ExposureSlack: 50}) {
		is.True(feed.Kind != mulberrybeam.ObjectRollout)
		is.True(feed.Kind != mulberrybeam.ObjectLease || feed.Wait == 30*time.Second)
	}
	found := 0
	for _, feed := range starter.Feeds(mulberrybeam.HostBounds{ExposureShare: 0.1, RollbackWithin: 5 * time.Second}) {
		if feed.Kind == mulberrybeam.ObjectRollout || feed.Kind == mulberrybeam.ObjectLease {
			found++
			is.True(feed.Wait <= 5*time.Second)
			is.True(starter.ScaleBatchDelay(feed.BatchDelay, 300) < time.Second)
		}
	}
	is.Equal(found, 2)
}
