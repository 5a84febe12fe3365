package chooser_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/chooser"
)

const choicesFile = "testdata/choices.txt"

var record = flag.Bool("record", false, "write the choices of this code to "+choicesFile)

// Guards against changes of the code that make it pick other targets for the same
// inputs. The file was recorded from the code that copied its candidates for each
// filter. Loads, latencies and slots are such that no sum is rounded, since arm64
// rounds some expressions once where x86-64 rounds them twice.
func TestChoicesAreUnchanged(t *testing.T) {
	var choices strings.Builder
	for seed := range uint64(1000) {
		fmt.Fprintln(&choices, describeChoice(seed))
	}
	if *record {
		if err := os.WriteFile(choicesFile, []byte(choices.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(choicesFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(recorded), "\n")
	for seed, choice := range strings.Split(choices.String(), "\n") {
		if seed >= len(want) || choice != want[seed] {
			t.Fatalf("seed %d: got %q, recorded are %d choices", seed, choice, len(want))
		}
	}
}

func describeChoice(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 3))
	f, v, query := randomFleet(random), view{}, randomQuery(random)
	for _, target := range f.Targets["s"] {
		v[target.ID] = randomStats(random, target)
		if random.IntN(30) == 0 {
			query.Tried = append(query.Tried, target.ID)
		}
	}
	choice, err := chooser.Choose(now, random, f, v, query)
	if err != nil {
		failure := err.(*mulberrybeam.Failure)
		return fmt.Sprint(failure.Message, ", retry after ", failure.RetryAfter, ", next ", random.IntN(1000))
	}
	return fmt.Sprint(choice.Target.ID, " preferred ", choice.PreferredEngine.ID, " limit ", choice.ColdLimit, " ", choice.Reason, ", next ", random.IntN(1000))
}

func randomFleet(random *rand.Rand) *mulberrybeam.Fleet {
	f := fleet([4]int{3, 12, 60, 200}[random.IntN(4)])
	for i := range [3]int{1, 9, 110}[random.IntN(3)] {
		f.EntryHosts = append(f.EntryHosts, mulberrybeam.ProcessID(fmt.Sprint("h", i)))
	}
	f.Weights["m"] = mulberrybeam.DesiredWeights{Version: 1 + random.IntN(2)}
	f.Leaving = map[mulberrybeam.InstanceID]bool{}
	cold, upgraded := random.IntN(4), random.IntN(3)
	for i := range f.Targets["s"] {
		target := &f.Targets["s"][i]
		target.Zone = [2]mulberrybeam.ZoneName{"a", "b"}[random.IntN(2)]
		target.Slots, target.StartedAt = 1<<random.IntN(4), int64(random.IntN(3))
		target.Versions = map[mulberrybeam.ModelName]int{"m": 1 + random.IntN(1+upgraded)}
		f.Leaving[target.ID] = random.IntN(6) == 0
		if random.IntN(3) < cold {
			target.ColdUntil = now + time.Second
		}
	}
	return f
}

func randomQuery(random *rand.Rand) chooser.Query {
	query := chooser.Query{
		Rule: &mulberrybeam.Rule{}, Service: "s", Zone: "a", Self: "self", Model: "m", ColdOvershoot: 1.5, ColdSlack: random.IntN(9),
		MinVersion: random.IntN(3), MayWait: random.IntN(2) == 0,
	}
	if random.IntN(5) == 0 {
		query.Rule.Regions = []mulberrybeam.RegionName{"south"}
	}
	if random.IntN(3) > 0 {
		query.SharedPart, query.SharedTokens, query.PromptTokens = fmt.Sprint("p", random.IntN(50)), 4001, 4001+random.IntN(9000)
		query.MemoryTokens, query.Stored = 100_003*random.IntN(2), random.IntN(2) == 0
		query.ContextZone = [3]mulberrybeam.ZoneName{"", "a", "b"}[random.IntN(3)]
	}
	return query
}

func randomStats(random *rand.Rand, target mulberrybeam.FleetTarget) mulberrybeam.TargetStats {
	stats := mulberrybeam.TargetStats{
		OwnLoad:  mulberrybeam.TargetLoad{Requests: random.IntN(3), PrefillTokens: random.IntN(3) * random.IntN(5000), HeldTokens: random.IntN(60000)},
		PeerLoad: mulberrybeam.TargetLoad{Requests: random.IntN(9), PrefillTokens: random.IntN(2) * random.IntN(5000), HeldTokens: random.IntN(60000)},
		Latency:  time.Duration(random.IntN(12)) * time.Millisecond, ErrorRate: random.Float64() * 0.4, ColdSends: random.IntN(3),
	}
	switch random.IntN(25) {
	case 0:
		stats.AvoidUntil = now + 1
	case 1:
		stats.PausedUntil = now + time.Duration(1+random.IntN(1000))
	case 2:
		stats.LeavingRun = target.Incarnation()
	case 3:
		stats.SuspectUntil = now + 1
	case 4:
		stats.Latency *= 50
	}
	return stats
}
