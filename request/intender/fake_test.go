package intender_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"mulberrybeam"
	"mulberrybeam/request/intender"
)

// Faults injected into calls of the object API and of the target.
const (
	downBefore       = "platform down before the write took effect"
	downAfter        = "answer lost after the write took effect"
	lateWrite        = "answer lost and write delayed until the next call"
	budgetExhausted  = "budget exhausted"
	pausedPastWindow = "paused past the send window while the record is deleted"
	brokenAfterRun   = "connection broken after the call ran"
	brokenBeforeRun  = "connection broken before the call ran"
	refusedNotRun    = "refused as not-run"
)

// platform is an in-memory object API, shared by all processes of a test.
type platform struct {
	mutex   sync.Mutex
	objects map[string]mulberrybeam.Object
	version int
}

func newPlatform() *platform { return &platform{objects: map[string]mulberrybeam.Object{}} }

func (p *platform) write(op mulberrybeam.ObjectOp, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	stored, found := p.objects[object.Name]
	switch {
	case op == mulberrybeam.OpCreate && found:
		return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeExists}
	case op != mulberrybeam.OpCreate && !found:
		return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeNotFound}
	case op != mulberrybeam.OpCreate && stored.Version != object.Version:
		return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeConflict}
	case op == mulberrybeam.OpDelete:
		delete(p.objects, object.Name)
		return object, nil
	}
	p.version++
	object.Version = fmt.Sprint(p.version)
	p.objects[object.Name] = object
	return object, nil
}

// process is an entry process with its own clock and its own client of the
// platform. The fault function returns the fault of the next call, or "".
type process struct {
	mulberrybeam.ObjectClient
	id       mulberrybeam.ProcessID
	platform *platform
	fault    func(op mulberrybeam.ObjectOp) string
	now      atomic.Int64
	wall     time.Time
	// trustsLostCreate treats a lost answer to a create as a success, which
	// violates the rule that the record must be read back.
	trustsLostCreate bool
	// frozenClock stops the driver's clock, so that it does not notice pauses.
	frozenClock bool
	lateWrites  []func()
}

func (p *process) run(op mulberrybeam.ObjectOp, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	for _, effect := range p.lateWrites {
		effect()
	}
	p.lateWrites = nil
	runtime.Gosched()
	lost := &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown, Step: mulberrybeam.StepPlatform}
	switch p.fault(op) {
	case downBefore:
		return mulberrybeam.Object{}, lost
	case downAfter:
		_, _ = p.platform.write(op, object)
		return mulberrybeam.Object{}, lost
	case lateWrite:
		p.lateWrites = append(p.lateWrites, func() { _, _ = p.platform.write(op, object) })
		return mulberrybeam.Object{}, lost
	case budgetExhausted:
		return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformBudget}
	case pausedPastWindow:
		written, err := p.platform.write(op, object)
		if err == nil {
			_, _ = p.platform.write(mulberrybeam.OpDelete, written)
			p.now.Add(int64(intender.SendWindow))
		}
		return written, err
	}
	return p.platform.write(op, object)
}

func (p *process) Create(_ context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	created, err := p.run(mulberrybeam.OpCreate, object)
	var failure *mulberrybeam.Failure
	if p.trustsLostCreate && errors.As(err, &failure) && failure.Code == mulberrybeam.CodePlatformDown {
		return mulberrybeam.Object{Version: "unknown"}, nil
	}
	return created, err
}

func (p *process) Update(_ context.Context, object mulberrybeam.Object) (mulberrybeam.Object, error) {
	return p.run(mulberrybeam.OpUpdate, object)
}

func (p *process) Delete(_ context.Context, object mulberrybeam.Object) error {
	_, err := p.run(mulberrybeam.OpDelete, object)
	return err
}

func (p *process) Get(_ context.Context, _ mulberrybeam.ObjectKind, name string) (mulberrybeam.Object, error) {
	if p.fault(mulberrybeam.OpGet) == downBefore {
		return mulberrybeam.Object{}, &mulberrybeam.Failure{Code: mulberrybeam.CodePlatformDown}
	}
	p.platform.mutex.Lock()
	defer p.platform.mutex.Unlock()
	object, found := p.platform.objects[name]
	if !found {
		return object, &mulberrybeam.Failure{Code: mulberrybeam.CodeNotFound}
	}
	return object, nil
}

func (p *process) driver() intender.Driver {
	return intender.Driver{
		Objects: p,
		Codec: intender.Codec{
			Encode: func(record intender.Record) ([]byte, error) { return json.Marshal(record) },
			Decode: func(data []byte) (record intender.Record, err error) {
				err = json.Unmarshal(data, &record)
				return record, err
			},
		},
		Clock: func() time.Duration {
			if p.frozenClock {
				return 0
			}
			return time.Duration(p.now.Load())
		},
		Wall: func() time.Time { return p.wall },
		Live: func(id mulberrybeam.ProcessID) bool { return id == p.id },
	}
}

// keyAt returns a version 7 UUID for a wall time.
func keyAt(at time.Time, random *rand.Rand) string {
	var key uuid.UUID
	millis := uint64(at.UnixMilli())
	for i := range key {
		key[i] = byte(random.Uint32())
		if i < 6 {
			key[i] = byte(millis >> (40 - 8*i))
		}
	}
	key[6] = 0x70 | key[6]&0x0f
	key[8] = 0x80 | key[8]&0x3f
	return key.String()
}

// service counts its runs and answers with the number of the run.
type service struct {
	mulberrybeam.ServiceClient
	mutex        sync.Mutex
	runs         int
	fault        func() string
	minBodyBytes int
	// onRun is called during each run.
	onRun func(run int, request *mulberrybeam.Request)
}

func (s *service) Call(_ context.Context, request mulberrybeam.ServiceRequest) (mulberrybeam.ServiceAnswer, error) {
	fault := s.fault()
	lost := &mulberrybeam.Failure{Code: mulberrybeam.CodeTargetFailed, Step: mulberrybeam.StepAnswer, Peer: "t"}
	switch fault {
	case refusedNotRun:
		return mulberrybeam.ServiceAnswer{}, &mulberrybeam.Failure{Code: mulberrybeam.CodeTargetRefused, Peer: "t", NotRun: true}
	case brokenBeforeRun:
		return mulberrybeam.ServiceAnswer{}, lost
	}
	s.mutex.Lock()
	s.runs++
	run := s.runs
	if s.onRun != nil {
		s.onRun(run, request.Request)
	}
	s.mutex.Unlock()
	runtime.Gosched()
	if fault == brokenAfterRun {
		return mulberrybeam.ServiceAnswer{}, lost
	}
	body := fmt.Sprint(run)
	for len(body) < s.minBodyBytes {
		body += body
	}
	return mulberrybeam.ServiceAnswer{Status: 201, ContentType: "text/plain", Body: []byte(body)}, nil
}
