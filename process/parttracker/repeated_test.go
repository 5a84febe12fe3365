package parttracker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/platform"
	"mulberrybeam/process/parttracker"
	"mulberrybeam/request/quarantiner"
)

// restart ends all hosts and starts them again. They list what the store has.
func (s *simulation) restart() {
	clear(s.trials)
	for host := range s.hosts {
		s.hosts[host] = parttracker.New()
		s.deliver(host, mulberrybeam.RecordsListed{Kind: mulberrybeam.ObjectCrash, Records: s.stored})
	}
}

// repeat sends copies of a request for a time, each from any host. Engines crash by
// themselves, one at a time, if crashEvery is not 0. If isDeadly is set, the request
// crashes them.
func (s *simulation) repeat(duration time.Duration, perSecond float64, crashEvery time.Duration, isDeadly bool) {
	var parts []mulberrybeam.SharedPart
	if isDeadly {
		parts = []mulberrybeam.SharedPart{deadly}
	}
	for end := s.now + duration; s.now < end; s.advance() {
		for range int(perSecond*step.Seconds() + s.random.Float64()) {
			s.send(&run{host: s.random.IntN(len(s.hosts)), request: repeated, parts: parts})
		}
		if crashEvery > 0 && s.now%crashEvery == 0 {
			s.crash(s.random.IntN(len(s.engines)))
		}
	}
}

var repeated = mulberrybeam.Fingerprint{9}

// Guards against a request that many callers share, and that is refused on all hosts after
// crashes of engines that it did not cause, also by hosts that start later.
func TestRepeatedRequestGoesOnBesideCrashes(t *testing.T) {
	part := quarantiner.RequestPart(repeated)
	for seed := range uint64(9) {
		for _, perSecond := range []float64{20, 140} {
			s := newSimulation([]int{3, 9, 40}[seed%3], 4, seed)
			s.repeat(2*time.Second, perSecond, 0, false)
			s.repeat(20*time.Second, perSecond, 3*time.Second, false)
			if served, refused := s.served[part], s.refused[part]; served < 4*refused {
				t.Errorf("seed %d, %v a second: %d requests served and %d refused beside crashes", seed, perSecond, served, refused)
			}
			s.restart()
			s.repeat(12*time.Second, perSecond, 0, false)
			served, refused := s.served[part], s.refused[part]
			s.repeat(20*time.Second, perSecond, 0, false)
			if s.refused[part] > refused || s.served[part] == served {
				t.Errorf("seed %d, %v a second: %d requests refused later than 12 s after a restart", seed, perSecond, s.refused[part]-refused)
			}
		}
	}
}

// Guards against a request that crashes each engine that runs it, and is sent again and
// again.
func TestRepeatedRequestThatCrashesEnginesIsStopped(t *testing.T) {
	for seed := range uint64(30) {
		for _, perSecond := range []float64{0.5, 2, 8} {
			s := newSimulation([]int{3, 9, 40}[seed%3], 9, seed)
			s.repeat(30*time.Second, perSecond, 0, true)
			late := 0
			for _, at := range s.deadlyAt {
				if len(s.crashedAt) > 3 && at > s.crashedAt[2]+3*time.Second {
					late++
				}
			}
			if late > 3 {
				t.Errorf("seed %d, %v a second: %d copies reached engines after 3 crashes and 3 s", seed, perSecond, late)
			}
		}
	}
}

// Guards against crashes of a request that are counted twice for one target, or for ever.
func TestCrashesOfRequestsAreCountedUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 0, 1)
	part := quarantiner.RequestPart(repeated)
	crashes := func() int { return s.suspects(0)[part].Crashes }
	for _, id := range []mulberrybeam.InstanceID{"t1", "t2", "t2"} {
		s.deliver(0, mulberrybeam.RecordChanged{Kind: mulberrybeam.ObjectCrash, Record: mulberrybeam.Record{Crash: &mulberrybeam.CrashRecord{Fingerprint: repeated, Target: id}}})
	}
	is.Equal(crashes(), 2)
	s.now += time.Hour
	s.deliver(0, mulberrybeam.Tick{})
	is.Equal(crashes(), 0)
}

// Guards against the refusal of other requests that share a prompt part with one that
// crashes targets, also after it was tried again.
func TestPartsOfRepeatedRequestAreNotConvicted(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, 0, 1)
	for i := range 5 {
		s.write(platform.Encoder{}.Crash(mulberrybeam.CrashRecord{
			Fingerprint: repeated, Target: mulberrybeam.InstanceID(fmt.Sprint("e", i)), Parts: []mulberrybeam.SharedPart{"m/beside"},
		}))
	}
	s.play(2*time.Second, 0, 0, nil)
	s.engines = []*engine{{}}
	s.send(&run{parts: []mulberrybeam.SharedPart{"m/beside"}})
	s.send(&run{parts: []mulberrybeam.SharedPart{"m/beside"}, request: repeated})
	is.Equal(s.refused["m/beside"], 0)
	is.Equal(s.refused[quarantiner.RequestPart(repeated)], 1)
}
