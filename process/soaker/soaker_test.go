package soaker_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"mulberrybeam/process/soaker"
	// The program under test is built by the test. Without the import a cached
	// result would outlive a change of the program.
	_ "mulberrybeam/process/starter"
)

// seeds are played with every run of the tests: a short one, and those that once
// showed a broken promise, with its cause.
var seeds = []struct {
	seed   uint64
	hosts  int
	faults time.Duration
	cause  string
}{
	{seed: 1, hosts: 3, faults: 5 * time.Second},
	{
		seed: 14, hosts: 4, faults: 12 * time.Second,
		cause: "a stream that broke within its first event ended as a closed connection",
	},
}

// Guards against promises that are broken when real processes are frozen,
// killed, stopped and cut off in series that overlap.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mulberryentry")
	if output, err := exec.Command("go", "build", "-o", program, "mulberrybeam/cmd/mulberryentry").CombinedOutput(); err != nil {
		t.Fatalf("the entry process cannot be built: %v\n%s", err, output)
	}
	for _, test := range seeds {
		t.Run(fmt.Sprint(test.seed), func(t *testing.T) {
			t.Parallel()
			options := soaker.Options{Entry: program, Dir: t.TempDir(), Hosts: test.hosts, Faults: test.faults, Gap: 800 * time.Millisecond}
			report, err := soaker.Run(t.Context(), options, test.seed)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d arrivals", len(report.History.Results), len(report.History.Arrivals))
			for _, violation := range report.Violations {
				t.Errorf("%s: %s %s", violation.Rule, violation.Text, test.cause)
			}
		})
	}
}
