package forwarder_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/forwarder"
)

var (
	overloadFailure = &mulberrybeam.Failure{Code: mulberrybeam.CodeOverloaded, Step: mulberrybeam.StepSend, NotRun: true}
	streamFailure   = &mulberrybeam.Failure{Code: mulberrybeam.CodeStreamBroken, Step: mulberrybeam.StepAnswer}
	resetFailure    = &mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepSend, Cause: errors.New("connection reset")}
	connectFailure  = &mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepConnect, NotRun: true}
)

type generateFunc = func(int, mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error)

// firstAttempt returns the given result for the first attempt and the rest of
// the response for all later ones.
func firstAttempt(result *fakeStream, err error) generateFunc {
	return func(attempt int, call mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) {
		if attempt > 1 {
			return newStream(call.After+1, 3), nil
		}
		if err != nil {
			return nil, err
		}
		return result, nil
	}
}

func modified(s *fakeStream, change func(*fakeStream)) *fakeStream {
	change(s)
	return s
}

// Guards against responses with gaps, duplicates or text of another request
// after each kind of engine fault, and against wrong signals to the control
// loop.
func TestPromptSurvivesEngineFaults(t *testing.T) {
	cases := []struct {
		name   string
		engine generateFunc
		sends  int
		after  uint64
		signal mulberrybeam.SignalKind
		cancel int
	}{
		{"no fault", firstAttempt(newStream(1, 3), nil), 1, 0, mulberrybeam.SignalCompleted, 0},
		{"connection refused", firstAttempt(nil, connectFailure), 2, 0, mulberrybeam.SignalBroken, 0},
		{"overloaded", firstAttempt(nil, overloadFailure), 2, 0, mulberrybeam.SignalRefused, 0},
		{"connection broken before the response", firstAttempt(nil, resetFailure), 2, 0, mulberrybeam.SignalBroken, 1},
		{"connection broken in mid-stream", firstAttempt(modified(newStream(1, 2), func(s *fakeStream) { s.err = streamFailure }), nil), 2, 2, mulberrybeam.SignalBroken, 1},
		{"ended without the end marker", firstAttempt(newStream(1, 2), nil), 2, 2, mulberrybeam.SignalBroken, 1},
		{"token lost", firstAttempt(modified(newStream(1, 3), func(s *fakeStream) { s.remaining = append(s.remaining[:1], s.remaining[2:]...) }), nil), 2, 1, mulberrybeam.SignalCompleted, 1},
		{"duplicate token", firstAttempt(modified(newStream(1, 3), func(s *fakeStream) { s.remaining = append(s.remaining[:1:1], s.remaining...) }), nil), 1, 0, mulberrybeam.SignalCompleted, 0},
		{"token of another request", firstAttempt(modified(newStream(1, 3), func(s *fakeStream) { s.remaining[1].Request = "x" }), nil), 2, 1, mulberrybeam.SignalCompleted, 1},
		{"other weight version", firstAttempt(modified(newStream(1, 3), func(s *fakeStream) { s.version = "v2" }), nil), 2, 0, mulberrybeam.SignalCompleted, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(mulberrybeam.PhaseWarm)
			f.generate = c.engine
			f.permit = mulberrybeam.AskPermitReply{Granted: true, Valid: time.Second}
			forwarder, stop := f.start(t)
			text := ""
			err := forwarder.Generate(t.Context(), prompt(), func(token mulberrybeam.Token) error {
				text += token.Text
				if token.End {
					text += "."
				}
				return nil
			})
			stop()
			is.NoErr(err)
			is.Equal(text, "xyz.")
			is.Equal(f.sends, c.sends)
			last := f.calls[len(f.calls)-1]
			is.Equal(last.After, c.after)
			is.Equal(len(last.Generated), int(c.after))
			is.Equal(f.signals[0].Kind, c.signal)
			is.Equal(f.signals[len(f.signals)-1].Kind, mulberrybeam.SignalCompleted)
			permitRequests := 0
			if c.cancel == 1 && c.signal == mulberrybeam.SignalBroken {
				permitRequests = 1
				is.Equal(f.signals[0].InFlight, []mulberrybeam.Fingerprint{{7}})
				is.Equal(*f.signals[1].Cleared, mulberrybeam.Fingerprint{7})
			}
			is.Equal(f.asks, permitRequests) // a suspected request is retried in isolation only
			is.Equal(f.cancelled, c.cancel)
			is.Equal(forwarder.InFlight("a")+forwarder.InFlight("b"), 0)
		})
	}
}

func alwaysFails(err error) generateFunc {
	return func(int, mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) { return nil, err }
}

func resetThenOverloaded(attempt int, _ mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) {
	if attempt == 1 {
		return nil, resetFailure
	}
	return nil, overloadFailure
}

// Guards against failures that claim NotRun although a target may have run the
// prompt, and against failures without NotRun although no target was reached.
func TestNotRunOfFailedPrompts(t *testing.T) {
	none := func(*fakeFleet) {}
	cases := []struct {
		name    string
		phase   mulberrybeam.Phase
		engine  generateFunc
		prepare func(*fakeFleet)
		code    mulberrybeam.Code
		notRun  bool
		sends   int
		permits int
	}{
		{"no configuration", mulberrybeam.PhaseWarm, nil, func(f *fakeFleet) { f.snapshot = &mulberrybeam.Snapshot{} }, mulberrybeam.CodeNotReady, true, 0, 0},
		{"all targets refuse", mulberrybeam.PhaseWarm, alwaysFails(overloadFailure), none, mulberrybeam.CodeOverloaded, true, 3, 0},
		{"no target reachable", mulberrybeam.PhaseWarm, alwaysFails(connectFailure), none, mulberrybeam.CodeTargetFailed, true, 3, 0},
		{"one target may have run it", mulberrybeam.PhaseWarm, resetThenOverloaded, func(f *fakeFleet) {
			f.permit = mulberrybeam.AskPermitReply{Granted: true, Permit: 5, Valid: time.Second}
		}, mulberrybeam.CodeOverloaded, false, 3, 2},
		{"request crashed targets before", mulberrybeam.PhaseWarm, nil, func(f *fakeFleet) {
			f.snapshot.Crashes = map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact{{7}: {Count: 2}}
		}, mulberrybeam.CodeCrashesTargets, true, 0, 0},
		{"no permit", mulberrybeam.PhaseCold, nil, func(f *fakeFleet) { f.askDuration = 400 * time.Millisecond }, mulberrybeam.CodeNoPermit, true, 0, 0},
		{"owner unreachable", mulberrybeam.PhaseCold, nil, func(f *fakeFleet) {
			f.askErr, f.askDuration = errors.New("no answer"), 400*time.Millisecond
		}, mulberrybeam.CodeNoPermit, true, 0, 0},
		{"permit expired", mulberrybeam.PhaseCold, nil, func(f *fakeFleet) {
			f.permit, f.askDuration = mulberrybeam.AskPermitReply{Granted: true, Permit: 5, Valid: time.Second}, time.Second
		}, mulberrybeam.CodeNoPermit, true, 0, 3},
		{"deadline passed", mulberrybeam.PhaseCold, nil, func(f *fakeFleet) {
			f.permit, f.askDuration = mulberrybeam.AskPermitReply{Granted: true, Permit: 5, Valid: time.Hour}, time.Minute
		}, mulberrybeam.CodeTimeout, true, 0, 1},
		{"request crashes two targets", mulberrybeam.PhaseCold, alwaysFails(resetFailure), func(f *fakeFleet) {
			f.permit = mulberrybeam.AskPermitReply{Granted: true, Permit: 5, Valid: time.Second}
		}, mulberrybeam.CodeCrashesTargets, false, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(c.phase)
			f.generate = c.engine
			c.prepare(f)
			forwarder, stop := f.start(t)
			err := forwarder.Generate(t.Context(), prompt(), func(mulberrybeam.Token) error { return nil })
			stop()
			var failure *mulberrybeam.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, c.code)
			is.Equal(failure.NotRun, c.notRun)
			is.Equal(f.sends, c.sends)
			is.Equal(len(f.releases), c.permits) // every granted permit was released
			for _, release := range f.releases {
				is.Equal(release.Permit, uint64(5))
				is.Equal(release.Crashed, c.code == mulberrybeam.CodeCrashesTargets)
				is.True(!release.Completed)
			}
		})
	}
}

// Guards against a run that continues after its caller stopped reading, a
// suspected request that runs without isolation, and a failed import that fails
// the prompt.
func TestCallerErrorsSuspectsAndFailedImports(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(mulberrybeam.PhaseCold)
	f.permit = mulberrybeam.AskPermitReply{Granted: true, Permit: 5, Valid: time.Second}
	f.generate = firstAttempt(newStream(1, 3), nil)
	runner, stop := f.start(t)
	errCaller := errors.New("left")
	is.True(errors.Is(runner.Generate(t.Context(), prompt(), func(mulberrybeam.Token) error { return errCaller }), errCaller))
	stop()
	is.Equal([]int{f.sends, f.cancelled, len(f.releases)}, []int{1, 1, 1})

	f = newFakeFleet(mulberrybeam.PhaseWarm)
	f.permit = mulberrybeam.AskPermitReply{Granted: true, Valid: time.Second}
	f.generate = firstAttempt(newStream(1, 3), nil)
	f.source, f.importErr = mulberrybeam.SourceImport, overloadFailure
	f.snapshot.Crashes = map[mulberrybeam.Fingerprint]mulberrybeam.CrashFact{{7}: {Count: 1}}
	runner, stop = f.start(t)
	var copyErr error
	is.NoErr(runner.Generate(t.Context(), prompt(), func(mulberrybeam.Token) error {
		copyErr = runner.Generate(t.Context(), prompt(), nil)
		return nil
	}))
	stop()
	var failure *mulberrybeam.Failure
	is.True(errors.As(copyErr, &failure)) // a copy must not run at the same time as a suspected request
	is.True(failure.NotRun)
	is.Equal([]int{f.sends, f.asks, f.imports}, []int{1, 1, 1})
	is.Equal(*f.signals[0].Cleared, mulberrybeam.Fingerprint{7})
}

// Guards against an interrupted response that is abandoned because its request
// ran longer than the queue timeout, which limits the wait for a permit, or
// because the target that denied a permit was not the last one tried.
func TestInterruptedPromptsWaitForPermits(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(mulberrybeam.PhaseWarm)
	f.permit, f.deniedAsks = mulberrybeam.AskPermitReply{Granted: true, Valid: time.Second}, 1
	f.generate = func(attempt int, call mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) {
		switch attempt {
		case 1:
			f.now += 3 * time.Second // the queue timeout is 1 s
			return nil, resetFailure
		case 2:
			return nil, connectFailure
		}
		return newStream(call.After+1, 3), nil
	}
	runner, stop := f.start(t)
	is.NoErr(runner.Generate(t.Context(), prompt(), func(mulberrybeam.Token) error { return nil }))
	stop()
	is.Equal([]int{f.sends, f.asks}, []int{3, 3}) // denied at b, connection refused at c, granted at b
}

// Guards against routing by a cache that was lost in a restart. The index
// learns of the restart only from the new instance's first response.
func TestCachesOfEarlierInstancesAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(mulberrybeam.PhaseWarm)
	f.generate = func(int, mulberrybeam.EngineCall) (mulberrybeam.EngineStream, error) { return newStream(1, 3), nil }
	keys := []mulberrybeam.BlockKey{{1}, {2}}
	request := prompt()
	request.Keys = keys
	f.index.RecordSent(f.now, "a", "earlier", keys)
	runner, stop := f.start(t)
	defer stop()
	f.snapshot.Targets["a"] = mulberrybeam.TargetState{Phase: mulberrybeam.PhaseWarm, Instance: "i"}
	for _, cached := range []int{0, 2} { // the first response comes from the current instance
		is.NoErr(runner.Generate(t.Context(), request, func(mulberrybeam.Token) error { return nil }))
		is.Equal(f.cached, cached)
		is.Equal(len(f.holders), cached/2)
	}
}

// Guards against a prompt that waits for a slow store longer than the engine
// would take to recompute the context.
func TestSlowImportIsLimitedToTimeOfRecomputing(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(mulberrybeam.PhaseWarm)
	f.generate, f.source, f.importHangs, f.importErr = firstAttempt(newStream(1, 3), nil), mulberrybeam.SourceImport, true, connectFailure
	target := f.snapshot.Tables.Targets["a"]
	target.PrefillRate = 5000
	f.snapshot.Tables.Targets["a"] = target
	runner, stop := f.start(t)
	begin := time.Now()
	is.NoErr(runner.Generate(t.Context(), prompt(), func(mulberrybeam.Token) error { return nil }))
	stop()
	is.Equal(f.imports, 1)
	is.True(time.Since(begin) < 2*time.Second) // recomputing 1000 tokens takes 200 ms
}

// Guards against a second run of a non-repeatable call, and against a
// repeatable call that is not retried after a broken connection.
func TestServiceCallsAreRetriedOnlyWhereAllowed(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		first      *mulberrybeam.Failure
		sends      int
		code       mulberrybeam.Code
		notRun     bool
	}{
		{"repeatable, connection broken", true, resetFailure, 2, "", false},
		{"repeatable, refused", true, overloadFailure, 2, "", false},
		{"once, connection broken", false, resetFailure, 1, mulberrybeam.CodeOutcomeUnknown, false},
		{"once, refused without a run", false, overloadFailure, 2, "", false},
		{"once, without a key", false, nil, 0, mulberrybeam.CodeIdempotencyKeyMissing, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(mulberrybeam.PhaseWarm)
			f.permit = mulberrybeam.AskPermitReply{Granted: true, Valid: time.Second}
			f.call = func(attempt int) (mulberrybeam.ServiceAnswer, error) {
				if attempt == 1 {
					return mulberrybeam.ServiceAnswer{}, c.first
				}
				return mulberrybeam.ServiceAnswer{Status: 201}, nil
			}
			forwarder, stop := f.start(t, forwarder.WithObjects(fakeObjects{}, codec))
			request := prompt()
			request.Model, request.Service, request.Call, request.Repeatable = "", "orders", "place", c.repeatable
			if c.first != nil {
				request.IdempotencyKey = newKey()
			}
			result, err := forwarder.Call(t.Context(), request)
			stop()
			is.Equal(f.sends, c.sends)
			if c.code == "" {
				is.NoErr(err)
				is.Equal(result.Answer.Status, 201)
				return
			}
			var failure *mulberrybeam.Failure
			is.True(errors.As(err, &failure))
			is.Equal(failure.Code, c.code)
			is.Equal(failure.NotRun, c.notRun)
		})
	}
}
