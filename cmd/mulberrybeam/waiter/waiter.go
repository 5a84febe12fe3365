// Package waiter waits until a revision is in force on every live entry host.
package waiter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/factory"
	"mulberrybeam/cmd/mulberrybeam/reader"
	"mulberrybeam/process/operator"
)

// pollInterval is the time between two status requests to the entry hosts.
const pollInterval = 500 * time.Millisecond

// Flags are the flags of commands that can wait until their change is in force.
type Flags struct {
	Wait    bool          `help:"Wait until every live host reports the revision in force."`
	Entry   []string      `help:"Operator listener address of an entry host, one for each zone. Required with --wait."`
	Timeout time.Duration `help:"Maximum time for --wait." default:"30s"`
}

// Await waits until the revision is in force if --wait is set.
func (w Flags) Await(ctx context.Context, f *factory.Factory, revision mulberrybeam.Revision) error {
	if !w.Wait {
		return nil
	}
	return Wait(ctx, f, w.Entry, revision, w.Timeout)
}

// Wait polls the given entry hosts until all live members report the revision or
// a later one. After timeout it returns an error that names the members that do not.
func Wait(ctx context.Context, f *factory.Factory, addresses []string, revision mulberrybeam.Revision, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		statuses, err := reader.GetAll[operator.Status](f.HTTP, addresses, "/operator/status", nil)
		if len(addresses) == 0 {
			return err
		}
		lagging := LaggingMembers(statuses, revision)
		if err == nil && len(lagging) == 0 {
			_, _ = fmt.Fprintf(f.Streams.Out, "revision %d is in force on all %d live hosts\n", revision, countLive(statuses))
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if err != nil {
				return fmt.Errorf("cannot confirm that revision %d is in force on all live hosts: %w", revision, err)
			}
			return fmt.Errorf("timed out after %s: revision %d is not in force on %s", timeout, revision, strings.Join(lagging, ", "))
		}
	}
}

// LaggingMembers returns the IDs of live members that report an older revision, sorted
// and without duplicates.
func LaggingMembers(statuses []operator.Status, revision mulberrybeam.Revision) []string {
	lagging := []string{}
	for _, status := range statuses {
		for _, member := range status.Members {
			if isLive(member) && member.Revision < revision {
				lagging = append(lagging, string(member.Process))
			}
		}
		if status.Revision < revision {
			lagging = append(lagging, string(status.Process))
		}
	}
	slices.Sort(lagging)
	return slices.Compact(lagging)
}

// countLive returns the number of distinct live hosts, including the ones that
// answered.
func countLive(statuses []operator.Status) int {
	processes := map[mulberrybeam.ProcessID]bool{}
	for _, status := range statuses {
		processes[status.Process] = true
		for _, member := range status.Members {
			if isLive(member) {
				processes[member.Process] = true
			}
		}
	}
	return len(processes)
}

// isLive treats suspect members as live, since they may still be running.
func isLive(member operator.Member) bool {
	return member.State == mulberrybeam.MemberAlive || member.State == mulberrybeam.MemberSuspect
}
