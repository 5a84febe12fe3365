package servicecaller_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/servicecaller"
	"mulberrybeam/process/standin/service"
)

var _ mulberrybeam.ServiceClient = (*servicecaller.Caller)(nil)

func setUp(t *testing.T) (*service.Service, *servicecaller.Caller, mulberrybeam.ServiceRequest) {
	t.Helper()
	is := is.New(t)
	fake, closeFake, err := service.New()
	is.NoErr(err)
	t.Cleanup(closeFake)
	caller, closeCaller := servicecaller.New()
	t.Cleanup(closeCaller)
	return fake, caller, mulberrybeam.ServiceRequest{
		Request: &mulberrybeam.Request{
			ID: "r1", Service: "orders", Call: "place", IdempotencyKey: "k1", Body: []byte(`{"oars": 2}`),
			ContentType: "application/vnd.order+json",
		},
		Target: mulberrybeam.Target{ID: "service-1", Address: fake.Address()}, Attempt: 1,
	}
}

// Guards against altering a call or its response.
func TestCallReturnsResponse(t *testing.T) {
	is := is.New(t)
	fake, caller, request := setUp(t)
	answer, err := caller.Call(t.Context(), request)
	is.NoErr(err)
	is.Equal(answer.Status, 200)
	is.Equal(answer.ContentType, "application/json")
	var body service.Answer
	is.NoErr(json.Unmarshal(answer.Body, &body))
	is.Equal(string(answer.Instance), body.Instance)
	is.Equal(body.Service+"/"+body.Call, "orders/place")
	is.Equal(body.RequestID, "r1")
	is.Equal(body.ContentType, "application/vnd.order+json")
	is.Equal(fake.RunsByKey("k1"), 1)
	report, err := caller.Load(t.Context(), request.Target)
	is.NoErr(err)
	is.Equal(report.Instance, answer.Instance)
}

// Guards against a call that runs twice, against a wrong NotRun, and against
// returning a response of the service as a failure.
func TestCallFaults(t *testing.T) {
	tests := map[string]struct {
		faults  service.Faults
		counter string
		code    mulberrybeam.Code
		notRun  bool
		runs    int
		status  int
	}{
		"refused":               {service.Faults{RefuseNext: 1}, "refused", mulberrybeam.CodeOverloaded, true, 0, 0},
		"unavailable":           {service.Faults{UnavailableNext: 1}, "unavailable", "", false, 0, 503},
		"broken before the run": {service.Faults{BreakBeforeNext: 1}, "broken-before-run", mulberrybeam.CodeTargetFailed, false, 0, 0},
		"broken after the run":  {service.Faults{BreakAfterNext: 1}, "broken-after-run", mulberrybeam.CodeTargetFailed, false, 1, 0},
		"crash":                 {service.Faults{CrashNext: 1}, "crashes", mulberrybeam.CodeTargetFailed, false, 1, 0},
		"truncated response":    {service.Faults{TruncateNext: 1}, "truncated", mulberrybeam.CodeTargetFailed, false, 1, 0},
		"misdelivered response": {service.Faults{MisdeliverNext: 1}, "misdelivered", mulberrybeam.CodeTargetFailed, false, 1, 0},
		"late response":         {service.Faults{AnswerDelay: time.Minute}, "runs", mulberrybeam.CodeTimeout, false, 1, 0},
		"error of the service":  {service.Faults{CallStatus: 422}, "runs", "", false, 1, 422},
	}
	for name, test := range tests {
		for _, pooled := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				fake, caller, request := setUp(t)
				if pooled { // use a pooled connection for the faulty call
					other := request
					other.Request = &mulberrybeam.Request{ID: "r0", Service: "orders", Call: "list"}
					_, err := caller.Call(t.Context(), other)
					is.NoErr(err)
				}
				fake.SetFaults(func(f *service.Faults) { *f = test.faults })
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				answer, err := caller.Call(ctx, request)
				is.True(fake.Count(test.counter) > 0) // the fault was injected
				is.Equal(fake.RunsByKey("k1"), test.runs)
				if test.code == "" {
					is.NoErr(err)
					is.Equal(answer.Status, test.status)
					return
				}
				var failure *mulberrybeam.Failure
				is.True(errors.As(err, &failure))
				is.Equal(failure.Code, test.code)
				is.Equal(failure.NotRun, test.notRun)
				is.Equal(failure.Peer, "service-1")
			})
		}
	}
}

// Guards against net/http resending a call that has an idempotency key or an
// empty body after its connection broke.
func TestBrokenCallIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		is := is.New(t)
		fake, caller, request := setUp(t)
		request.Request.Body = []byte(body)
		_, err := caller.Call(t.Context(), request)
		is.NoErr(err)
		fake.SetFaults(func(f *service.Faults) { f.BreakAfterNext = 2 })
		_, err = caller.Call(t.Context(), request)
		is.True(err != nil)
		is.Equal(fake.RunsByKey("k1"), 2) // the first call and the broken one
		is.Equal(fake.Count("broken-after-run"), 1)
	}
}

// Guards against NotRun not being set if the connection is refused.
func TestRefusedConnectionSetsNotRun(t *testing.T) {
	is := is.New(t)
	fake, caller, request := setUp(t)
	fake.Crash()
	_, err := caller.Call(t.Context(), request)
	var failure *mulberrybeam.Failure
	is.True(errors.As(err, &failure))
	is.True(failure.NotRun)
	is.Equal(failure.Step, mulberrybeam.StepConnect)
}
