package controllertest

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"time"

	"mulberrybeam"
)

const (
	platformDelayLow  = 2 * time.Millisecond
	platformDelayHigh = 8 * time.Millisecond
	// platformTimeout is how long a client waits for a response, and how
	// long it takes to notice that a watch is broken.
	platformTimeout = 2 * time.Second
)

// Platform simulates the object API.
type Platform struct {
	// Slow is added to the delay of each call and each watch event.
	Slow time.Duration
	// LoseAnswers is the fraction of calls that take effect but whose
	// response is lost.
	LoseAnswers float64

	fleet   *Fleet
	down    bool
	cut     map[mulberrybeam.ZoneName]bool
	objects map[objectKey]mulberrybeam.Object
	version int
	watches []*watch
}

type objectKey struct {
	kind mulberrybeam.ObjectKind
	name string
}

type watch struct {
	process *Process
	kind    mulberrybeam.ObjectKind
	name    string
	ended   bool
}

func newPlatform(fleet *Fleet) *Platform {
	return &Platform{
		fleet:   fleet,
		cut:     map[mulberrybeam.ZoneName]bool{},
		objects: map[objectKey]mulberrybeam.Object{},
	}
}

// Cut cuts a zone off from the platform, or reconnects it.
func (p *Platform) Cut(zone mulberrybeam.ZoneName, cut bool) {
	p.cut[zone] = cut
	p.breakWatches()
}

// SetDown starts or ends an outage, during which all calls and watches fail
// after a timeout and have no effect.
func (p *Platform) SetDown(down bool) {
	p.down = down
	p.breakWatches()
}

// Put writes an object on behalf of an operator outside the fleet, regardless
// of faults, and returns its new version.
func (p *Platform) Put(kind mulberrybeam.ObjectKind, name string, data []byte) string {
	return p.store(mulberrybeam.Object{Kind: kind, Name: name, Data: data}).Version
}

// Get reads an object on behalf of an operator outside the fleet, regardless of
// faults.
func (p *Platform) Get(kind mulberrybeam.ObjectKind, name string) (mulberrybeam.Object, bool) {
	object, exists := p.objects[objectKey{kind, name}]
	return object, exists
}

func (p *Platform) call(caller *Process, call mulberrybeam.CallObject) {
	caller.Traffic.ObjectCalls[call.Op]++
	caller.Traffic.ObjectBytes += encodedSize(call.Object)
	sentAt := caller.Now()
	answer := func(delay time.Duration, replied mulberrybeam.ObjectReplied) {
		replied.Ticket, replied.SentAt = call.Ticket, sentAt
		caller.Traffic.ObjectBytes += encodedSize(append(replied.Items, replied.Object)...)
		p.fleet.After(delay, func() { caller.deliver(replied) })
	}
	if err := p.unreachable(caller); err != nil {
		answer(platformTimeout, mulberrybeam.ObjectReplied{Err: err})
		return
	}
	if p.Slow > 0 {
		p.fleet.hit(FaultPlatformSlow)
	}
	delay := p.fleet.between(platformDelayLow, platformDelayHigh) + p.Slow
	lost := p.LoseAnswers > 0 && p.fleet.rand.Float64() < p.LoseAnswers
	p.fleet.After(delay/2, func() {
		replied := p.apply(call)
		if lost {
			p.fleet.hit(FaultAnswerLost)
			answer(platformTimeout, mulberrybeam.ObjectReplied{Err: failure(mulberrybeam.CodePlatformDown, "response lost")})
			return
		}
		answer(delay/2, replied)
	})
}

func (p *Platform) apply(call mulberrybeam.CallObject) mulberrybeam.ObjectReplied {
	key := objectKey{call.Object.Kind, call.Object.Name}
	existing, exists := p.objects[key]
	switch call.Op {
	case mulberrybeam.OpList:
		return mulberrybeam.ObjectReplied{Items: p.list(call.Object.Kind)}
	case mulberrybeam.OpCreate:
		if exists {
			return mulberrybeam.ObjectReplied{Err: failure(mulberrybeam.CodeExists, "object already exists")}
		}
		return mulberrybeam.ObjectReplied{Object: p.store(call.Object)}
	case mulberrybeam.OpGet, mulberrybeam.OpUpdate, mulberrybeam.OpDelete:
		if !exists {
			return mulberrybeam.ObjectReplied{Err: failure(mulberrybeam.CodeNotFound, "object does not exist")}
		}
	default:
		panic(fmt.Sprintf("object API operation %q is not simulated", call.Op))
	}
	if call.Op == mulberrybeam.OpGet {
		return mulberrybeam.ObjectReplied{Object: copied(existing)}
	}
	if call.Object.Version != "" && call.Object.Version != existing.Version {
		return mulberrybeam.ObjectReplied{Err: failure(mulberrybeam.CodeConflict, "object has version "+existing.Version)}
	}
	if call.Op == mulberrybeam.OpDelete {
		delete(p.objects, key)
		p.notify(existing, true)
		return mulberrybeam.ObjectReplied{}
	}
	return mulberrybeam.ObjectReplied{Object: p.store(call.Object)}
}

func (p *Platform) store(object mulberrybeam.Object) mulberrybeam.Object {
	p.version++
	object.Version = fmt.Sprint(p.version)
	object.Data = bytes.Clone(object.Data)
	p.objects[objectKey{object.Kind, object.Name}] = object
	p.notify(object, false)
	return copied(object)
}

func (p *Platform) list(kind mulberrybeam.ObjectKind) []mulberrybeam.Object {
	var items []mulberrybeam.Object
	for key, object := range p.objects {
		if key.kind == kind {
			items = append(items, copied(object))
		}
	}
	slices.SortFunc(items, func(a, b mulberrybeam.Object) int { return strings.Compare(a.Name, b.Name) })
	return items
}

// watch opens a watch. It sends the current objects whose version differs from
// the requested one, and then each change.
func (p *Platform) watch(process *Process, action mulberrybeam.WatchObject) {
	process.Traffic.ObjectCalls[mulberrybeam.OpWatch]++
	opened := &watch{process: process, kind: action.Kind, name: action.Name}
	if err := p.unreachable(process); err != nil {
		p.end(opened, err)
		return
	}
	p.watches = append(p.watches, opened)
	for _, object := range p.list(action.Kind) {
		if (action.Name == "" || action.Name == object.Name) && object.Version != action.Version {
			p.send(opened, mulberrybeam.ObjectChanged{Object: object})
		}
	}
}

func (p *Platform) notify(object mulberrybeam.Object, deleted bool) {
	for _, open := range p.watches {
		if open.kind == object.Kind && (open.name == "" || open.name == object.Name) {
			p.send(open, mulberrybeam.ObjectChanged{Object: copied(object), Deleted: deleted})
		}
	}
}

func (p *Platform) send(open *watch, changed mulberrybeam.ObjectChanged) {
	if p.Slow > 0 {
		p.fleet.hit(FaultPlatformSlow)
	}
	p.fleet.After(platformDelayHigh+p.Slow, func() {
		if !open.ended {
			open.process.Traffic.ObjectBytes += encodedSize(changed.Object)
			open.process.deliver(changed)
		}
	})
}

func (p *Platform) breakWatches() {
	p.watches = slices.DeleteFunc(p.watches, func(open *watch) bool {
		if !open.process.running {
			return true
		}
		err := p.unreachable(open.process)
		if err != nil {
			p.end(open, err)
		}
		return err != nil
	})
}

func (p *Platform) end(open *watch, err error) {
	open.ended = true
	p.fleet.After(platformTimeout, func() {
		open.process.deliver(mulberrybeam.WatchEnded{Kind: open.kind, Name: open.name, Err: err})
	})
}

func (p *Platform) unreachable(process *Process) error {
	if p.down {
		p.fleet.hit(FaultPlatformDown)
		return failure(mulberrybeam.CodePlatformDown, "platform is down")
	}
	if p.cut[process.Zone] {
		p.fleet.hit(FaultPlatformCut)
		return failure(mulberrybeam.CodePlatformDown, "platform is unreachable")
	}
	return nil
}

func copied(object mulberrybeam.Object) mulberrybeam.Object {
	object.Data = bytes.Clone(object.Data)
	return object
}

func encodedSize(objects ...mulberrybeam.Object) int {
	size := 0
	for _, object := range objects {
		size += base64.StdEncoding.EncodedLen(len(object.Data))
	}
	return size
}
