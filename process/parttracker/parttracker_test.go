package parttracker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/platform"
	"mulberrybeam/process/parttracker"
	"mulberrybeam/request/quarantiner"
)

const (
	step = 50 * time.Millisecond
	// storeDelay is the time from a record's creation until hosts know of it.
	storeDelay  = 500 * time.Millisecond
	answerAfter = 300 * time.Millisecond
	restartTime = 4 * time.Second
)

// simulation is a fleet of hosts and engines in virtual time. An engine crashes when
// it begins the answer to a prompt with the deadly part.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	hosts   []*parttracker.Tracker
	ids     []mulberrybeam.ProcessID
	engines []*engine
	records []delayedRecord
	known   map[string]bool
	stored  map[string]mulberrybeam.Record
	// trials are the ends of the turns in which a host has made its trial.
	trials map[int]time.Duration

	crashedAt []time.Duration
	deadlyAt  []time.Duration
	served    map[mulberrybeam.SharedPart]int
	refused   map[mulberrybeam.SharedPart]int
}

type engine struct {
	run     int
	upAt    time.Duration
	running []*run
}

// run is one attempt of a request.
type run struct {
	host    int
	parts   []mulberrybeam.SharedPart
	endsAt  time.Duration
	retried bool
	// request is set for a request that callers repeat.
	request mulberrybeam.Fingerprint
}

// suspectable returns what the run's request may share with others.
func (r *run) suspectable() []mulberrybeam.SharedPart {
	if r.request == (mulberrybeam.Fingerprint{}) {
		return r.parts
	}
	return append(slices.Clone(r.parts), quarantiner.RequestPart(r.request))
}

type delayedRecord struct {
	at     time.Duration
	record mulberrybeam.Record
}

const deadly = mulberrybeam.SharedPart("m/deadly")

func newSimulation(hosts, engines int, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), known: map[string]bool{}, stored: map[string]mulberrybeam.Record{}, trials: map[int]time.Duration{},
		served: map[mulberrybeam.SharedPart]int{}, refused: map[mulberrybeam.SharedPart]int{},
	}
	for i := range hosts {
		s.hosts = append(s.hosts, parttracker.New())
		s.ids = append(s.ids, mulberrybeam.ProcessID(fmt.Sprint("host", i)))
	}
	for range engines {
		s.engines = append(s.engines, &engine{})
	}
	return s
}

func last(parts []mulberrybeam.SharedPart) mulberrybeam.SharedPart { return parts[len(parts)-1] }

func (s *simulation) deliver(host int, event mulberrybeam.Event) {
	for _, action := range s.hosts[host].Step(mulberrybeam.Turn{Now: s.now}, event) {
		if emit, ok := action.(mulberrybeam.EmitEvent); ok {
			s.write(platform.Encoder{}.Clearance(emit.Event.(mulberrybeam.PartCleared).Clearance))
		}
	}
}

// write creates an object in the store.
func (s *simulation) write(object mulberrybeam.Object) {
	record, err := platform.Decoder{}.Decode(object)
	if err != nil {
		panic(err)
	}
	if !s.known[object.Name] {
		s.known[object.Name] = true
		s.records = append(s.records, delayedRecord{s.now + storeDelay, record})
		s.stored[object.Name] = record
	}
}

// send makes an attempt at an engine that is up, unless the host refuses it.
func (s *simulation) send(attempt *run) {
	decision := quarantiner.DecideParts(quarantiner.PartQuery{
		Parts: attempt.suspectable(), Suspects: s.suspects(attempt.host), Hosts: s.ids, Self: s.ids[attempt.host],
		Now: s.now, Interrupted: attempt.retried,
	})
	isTrial := decision.Verdict == quarantiner.RunIsolated
	if decision.Verdict == quarantiner.Refuse || decision.Verdict == quarantiner.Wait || isTrial && s.now < s.trials[attempt.host] {
		s.refused[last(attempt.suspectable())]++
		return
	}
	if isTrial {
		s.trials[attempt.host] = decision.TrialEnd
	}
	var up []*engine
	for _, engine := range s.engines {
		if engine.upAt <= s.now {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return
	}
	if slices.Contains(attempt.parts, deadly) {
		s.deadlyAt = append(s.deadlyAt, s.now)
	}
	attempt.endsAt = s.now + answerAfter
	target := up[s.random.IntN(len(up))]
	target.running = append(target.running, attempt)
}

// suspects returns the suspects that a host has published.
func (s *simulation) suspects(host int) map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion {
	snapshot := &mulberrybeam.Snapshot{Fleet: &mulberrybeam.Fleet{}}
	s.hosts[host].FillSnapshot(snapshot)
	return snapshot.Fleet.Suspects
}

// completed returns the parts that a host reports as completed: the request itself only
// if it is a suspect.
func (s *simulation) completed(r *run) []mulberrybeam.SharedPart {
	if s.suspects(r.host)[quarantiner.RequestPart(r.request)].Crashes > 0 {
		return r.suspectable()
	}
	return r.parts
}

// advance runs one step: completions and crashes, then records that arrive.
func (s *simulation) advance() {
	s.now += step
	for i, engine := range s.engines {
		crashes := slices.ContainsFunc(engine.running, func(r *run) bool { return r.endsAt <= s.now && slices.Contains(r.parts, deadly) })
		if crashes {
			s.crash(i)
			continue
		}
		engine.running = slices.DeleteFunc(engine.running, func(r *run) bool {
			if r.endsAt > s.now {
				return false
			}
			s.served[last(r.suspectable())]++
			s.deliver(r.host, mulberrybeam.PartsCompleted{Parts: s.completed(r)})
			return true
		})
	}
	s.records = slices.DeleteFunc(s.records, func(d delayedRecord) bool {
		if d.at > s.now {
			return false
		}
		for host := range s.hosts {
			s.deliver(host, mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectCrash, Record: d.record})
		}
		return true
	})
	for host := range s.hosts {
		s.deliver(host, mulberrybeam.Tick{})
	}
}

// crash ends an engine. Interrupted requests are sent once more.
func (s *simulation) crash(index int) {
	crashed := s.engines[index]
	interrupted := crashed.running
	target := mulberrybeam.InstanceID(fmt.Sprintf("engine%d-run%d", index, crashed.run))
	s.engines[index] = &engine{run: crashed.run + 1, upAt: s.now + restartTime}
	s.crashedAt = append(s.crashedAt, s.now)
	for i, attempt := range interrupted {
		fingerprint := attempt.request
		if fingerprint == (mulberrybeam.Fingerprint{}) {
			fingerprint = mulberrybeam.Fingerprint{byte(len(s.crashedAt)), byte(i), 1}
		}
		record := mulberrybeam.CrashRecord{Fingerprint: fingerprint, Target: target, Parts: attempt.parts}
		s.deliver(attempt.host, mulberrybeam.TargetCrashed{Crash: record})
		s.write(platform.Encoder{}.Crash(record))
	}
	for _, attempt := range interrupted {
		if !attempt.retried {
			s.send(&run{host: attempt.host, parts: attempt.parts, request: attempt.request, retried: true})
		}
	}
}

// play sends requests for a time: with the deadly part, and with sound parts, all of
// which share their first part.
func (s *simulation) play(duration time.Duration, deadlyPerSecond, soundPerSecond float64, sound []mulberrybeam.SharedPart) {
	for end := s.now + duration; s.now < end; s.advance() {
		if s.random.Float64() < deadlyPerSecond*step.Seconds() {
			s.send(&run{host: s.random.IntN(len(s.hosts)), parts: []mulberrybeam.SharedPart{"m/first", deadly}})
		}
		for range int(soundPerSecond * step.Seconds()) {
			part := sound[s.random.IntN(len(sound))]
			s.send(&run{host: s.random.IntN(len(s.hosts)), parts: []mulberrybeam.SharedPart{"m/first", part}})
		}
	}
}

// Guards against a prompt part that crashes engines again and again, sent by any
// host, and against the refusal of requests that share their first part with it.
func TestDeadlyPartStopsAndSoundPartsGoOn(t *testing.T) {
	sound := []mulberrybeam.SharedPart{"m/a", "m/b", "m/c", "m/d"}
	for seed := range uint64(50) {
		for _, perSecond := range []float64{0.3, 0.8, 2, 8} {
			s := newSimulation([]int{3, 9, 40}[seed%3], 9, seed)
			s.play(3*time.Second, 0, 40, sound)
			s.play(30*time.Second, perSecond, 40, sound)
			if len(s.crashedAt) > 5 {
				late := 0
				for _, at := range s.deadlyAt {
					if at > s.crashedAt[4]+3*time.Second {
						late++
					}
				}
				if late > 3 {
					t.Errorf("seed %d, %v deadly requests a second: %d reached engines after 5 crashes and 3 s", seed, perSecond, late)
				}
			}
			served, refused := 0, 0
			for _, part := range sound {
				served += s.served[part]
				refused += s.refused[part]
			}
			if served < 10*refused {
				t.Errorf("seed %d, %v deadly requests a second: %d requests with sound parts served and %d refused", seed, perSecond, served, refused)
			}
		}
	}
}

// Guards against a sound part that stays refused because it happened to be in flight
// at several crashes.
func TestConvictedSoundPartIsClearedByTrial(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 3, 1)
	for i := range 3 {
		s.write(platform.Encoder{}.Crash(mulberrybeam.CrashRecord{Target: mulberrybeam.InstanceID(fmt.Sprint("e", i)), Parts: []mulberrybeam.SharedPart{"m/rare"}}))
	}
	s.play(2*time.Second, 0, 0, nil)
	s.play(time.Second, 0, 20, []mulberrybeam.SharedPart{"m/rare"})
	is.Equal(s.served["m/rare"], 0)
	s.play(12*time.Second, 0, 20, []mulberrybeam.SharedPart{"m/rare"})
	is.True(s.served["m/rare"] > 0)
	refused := s.refused["m/rare"]
	s.play(5*time.Second, 0, 20, []mulberrybeam.SharedPart{"m/rare"})
	is.Equal(s.refused["m/rare"], refused)
}

// Guards against the refusal of a sound part because it is often in the same prompts
// as a part that crashes engines.
func TestPartBesideDeadlyOneIsNotConvicted(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, 0, 1)
	for i := range 4 {
		parts := []mulberrybeam.SharedPart{"m/beside", deadly}
		if i == 3 {
			parts = []mulberrybeam.SharedPart{deadly}
		}
		s.write(platform.Encoder{}.Crash(mulberrybeam.CrashRecord{Target: mulberrybeam.InstanceID(fmt.Sprint("e", i)), Parts: parts}))
	}
	s.play(2*time.Second, 0, 0, nil)
	s.engines = []*engine{{}}
	s.send(&run{parts: []mulberrybeam.SharedPart{"m/beside"}})
	s.send(&run{parts: []mulberrybeam.SharedPart{"m/beside", deadly}})
	is.Equal(s.refused["m/beside"], 0)
	is.Equal(s.refused[deadly], 1)
}

// Guards against a convicted part that is forgotten, and crashes targets again, because
// other crashes bring more parts than are tracked.
func TestConvictionOutlivesManySuspects(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 1)
	crash := func(target string, part mulberrybeam.SharedPart) {
		s.deliver(0, mulberrybeam.TargetCrashed{Crash: mulberrybeam.CrashRecord{
			Target: mulberrybeam.InstanceID(target), Parts: []mulberrybeam.SharedPart{part},
		}})
	}
	for i := range 3 {
		crash(fmt.Sprint("deadly", i), deadly)
	}
	s.play(2*time.Second, 0, 0, nil)
	for i := range 2000 {
		// Two crashes make a part a suspect.
		part := mulberrybeam.SharedPart(fmt.Sprint("m/", i))
		crash("first", part)
		crash("second", part)
	}
	s.send(&run{parts: []mulberrybeam.SharedPart{deadly}})
	is.Equal(s.refused[deadly], 1)
}

// Guards against a new part that is not convicted because convictions fill the state.
func TestNewPartIsConvictedBesideManyConvictions(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1, 1)
	for i := range 2001 {
		part := deadly
		if i < 2000 {
			part = mulberrybeam.SharedPart(fmt.Sprint("m/", i))
		}
		for target := range 3 {
			s.deliver(0, mulberrybeam.TargetCrashed{Crash: mulberrybeam.CrashRecord{
				Target: mulberrybeam.InstanceID(fmt.Sprint(i, "-", target)), Parts: []mulberrybeam.SharedPart{part},
			}})
		}
	}
	s.play(2*time.Second, 0, 0, nil)
	s.send(&run{parts: []mulberrybeam.SharedPart{deadly}})
	is.Equal(s.refused[deadly], 1)
}

// Guards against more state than the limit, however many parts are in flight at
// crashes.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 0, 1)
	for i := range 2000 {
		parts := []mulberrybeam.SharedPart{mulberrybeam.SharedPart(fmt.Sprint("m/", i))}
		for target := range 3 {
			s.deliver(0, mulberrybeam.TargetCrashed{Crash: mulberrybeam.CrashRecord{Target: mulberrybeam.InstanceID(fmt.Sprint(target)), Parts: parts}})
		}
	}
	snapshot := &mulberrybeam.Snapshot{Fleet: &mulberrybeam.Fleet{}}
	s.hosts[0].FillSnapshot(snapshot)
	is.Equal(len(snapshot.Fleet.Suspects), 512)
	s.now += 3 * time.Minute
	s.deliver(0, mulberrybeam.Tick{})
	s.hosts[0].FillSnapshot(snapshot)
	is.Equal(len(snapshot.Fleet.Suspects), 0)
}
