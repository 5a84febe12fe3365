package soaker_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"mulberrybeam/process/soaker"
)

// regressions are seeds that once showed a broken promise, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// shortSeed is the seed that every run of the tests plays.
const shortSeed = 1

// Guards against promises that are broken when real processes are frozen,
// killed, stopped and cut off in series that overlap.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mulberryentry")
	if output, err := exec.Command("go", "build", "-o", program, "mulberrybeam/cmd/mulberryentry").CombinedOutput(); err != nil {
		t.Fatalf("the entry process cannot be built: %v\n%s", err, output)
	}
	play := func(seed uint64, cause string) {
		options := soaker.Options{Entry: program, Dir: t.TempDir(), Hosts: 3, Faults: 5 * time.Second, Gap: 800 * time.Millisecond}
		report, err := soaker.Run(t.Context(), options, seed)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d requests, %d arrivals", seed, len(report.History.Results), len(report.History.Arrivals))
		for _, violation := range report.Violations {
			t.Errorf("seed %d (%s): %s: %s", seed, cause, violation.Rule, violation.Text)
		}
	}
	play(shortSeed, "")
	for _, regression := range regressions {
		play(regression.seed, regression.cause)
	}
}
