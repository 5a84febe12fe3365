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
	minPlatformDelay = 2 * time.Millisecond
	maxPlatformDelay = 8 * time.Millisecond
	// platformTimeout is how long a client waits for a response, and how
	// long it takes to notice that a watch is broken.
	platformTimeout = 2 * time.Second
)

// Platform simulates the object API.
type Platform struct {
	// ExtraDelay is added to the delay of each call and each watch event.
	ExtraDelay time.Duration
	// AnswerLossRate is the fraction of calls that take effect but whose
	// response is lost.
	AnswerLossRate float64

	fleet       *Fleet
	down        bool
	cutZones    map[mulberrybeam.ZoneName]bool
	objects     map[objectKey]mulberrybeam.Object
	lastVersion int
	watches     []*watch
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
		fleet:    fleet,
		cutZones: map[mulberrybeam.ZoneName]bool{},
		objects:  map[objectKey]mulberrybeam.Object{},
	}
}

// SetZoneCut cuts a zone off from the platform, or reconnects it.
func (p *Platform) SetZoneCut(zone mulberrybeam.ZoneName, cut bool) {
	p.cutZones[zone] = cut
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
	respond := func(delay time.Duration, result mulberrybeam.ObjectReplied) {
		result.Ticket, result.SentAt = call.Ticket, sentAt
		caller.Traffic.ObjectBytes += encodedSize(append(result.Items, result.Object)...)
		p.fleet.After(delay, func() { caller.deliver(result) })
	}
	if err := p.checkReachable(caller); err != nil {
		respond(platformTimeout, mulberrybeam.ObjectReplied{Err: err})
		return
	}
	if p.ExtraDelay > 0 {
		p.fleet.countHit(FaultPlatformSlow)
	}
	delay := p.fleet.randomDelay(minPlatformDelay, maxPlatformDelay) + p.ExtraDelay
	lost := p.AnswerLossRate > 0 && p.fleet.rand.Float64() < p.AnswerLossRate
	p.fleet.After(delay/2, func() {
		result := p.apply(call)
		if lost {
			p.fleet.countHit(FaultAnswerLost)
			respond(platformTimeout, mulberrybeam.ObjectReplied{Err: newFailure(mulberrybeam.CodePlatformDown, "response lost")})
			return
		}
		respond(delay/2, result)
	})
}

func (p *Platform) apply(call mulberrybeam.CallObject) mulberrybeam.ObjectReplied {
	key := objectKey{call.Object.Kind, call.Object.Name}
	current, exists := p.objects[key]
	switch call.Op {
	case mulberrybeam.OpList:
		return mulberrybeam.ObjectReplied{Items: p.list(call.Object.Kind)}
	case mulberrybeam.OpCreate:
		if exists {
			return mulberrybeam.ObjectReplied{Err: newFailure(mulberrybeam.CodeExists, "object already exists")}
		}
		return mulberrybeam.ObjectReplied{Object: p.store(call.Object)}
	case mulberrybeam.OpGet, mulberrybeam.OpUpdate, mulberrybeam.OpDelete:
		if !exists {
			return mulberrybeam.ObjectReplied{Err: newFailure(mulberrybeam.CodeNotFound, "object does not exist")}
		}
	default:
		panic(fmt.Sprintf("object API operation %q is not simulated", call.Op))
	}
	if call.Op == mulberrybeam.OpGet {
		return mulberrybeam.ObjectReplied{Object: cloneObject(current)}
	}
	if call.Object.Version != "" && call.Object.Version != current.Version {
		return mulberrybeam.ObjectReplied{Err: newFailure(mulberrybeam.CodeConflict, "object has version "+current.Version)}
	}
	if call.Op == mulberrybeam.OpDelete {
		delete(p.objects, key)
		p.notifyWatches(current, true)
		return mulberrybeam.ObjectReplied{}
	}
	return mulberrybeam.ObjectReplied{Object: p.store(call.Object)}
}

func (p *Platform) store(object mulberrybeam.Object) mulberrybeam.Object {
	p.lastVersion++
	object.Version = fmt.Sprint(p.lastVersion)
	object.Data = bytes.Clone(object.Data)
	p.objects[objectKey{object.Kind, object.Name}] = object
	p.notifyWatches(object, false)
	return cloneObject(object)
}

func (p *Platform) list(kind mulberrybeam.ObjectKind) []mulberrybeam.Object {
	var items []mulberrybeam.Object
	for key, object := range p.objects {
		if key.kind == kind {
			items = append(items, cloneObject(object))
		}
	}
	slices.SortFunc(items, func(a, b mulberrybeam.Object) int { return strings.Compare(a.Name, b.Name) })
	return items
}

// watch opens a watch. It sends the current objects whose version differs from
// the requested one, and then each change.
func (p *Platform) watch(process *Process, action mulberrybeam.WatchObject) {
	process.Traffic.ObjectCalls[mulberrybeam.OpWatch]++
	newWatch := &watch{process: process, kind: action.Kind, name: action.Name}
	if err := p.checkReachable(process); err != nil {
		p.endWatch(newWatch, err)
		return
	}
	p.watches = append(p.watches, newWatch)
	for _, object := range p.list(action.Kind) {
		if (action.Name == "" || action.Name == object.Name) && object.Version != action.Version {
			p.sendChange(newWatch, mulberrybeam.ObjectChanged{Object: object})
		}
	}
}

func (p *Platform) notifyWatches(object mulberrybeam.Object, deleted bool) {
	for _, open := range p.watches {
		if open.kind == object.Kind && (open.name == "" || open.name == object.Name) {
			p.sendChange(open, mulberrybeam.ObjectChanged{Object: cloneObject(object), Deleted: deleted})
		}
	}
}

func (p *Platform) sendChange(open *watch, changed mulberrybeam.ObjectChanged) {
	if p.ExtraDelay > 0 {
		p.fleet.countHit(FaultPlatformSlow)
	}
	p.fleet.After(maxPlatformDelay+p.ExtraDelay, func() {
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
		err := p.checkReachable(open.process)
		if err != nil {
			p.endWatch(open, err)
		}
		return err != nil
	})
}

func (p *Platform) endWatch(open *watch, err error) {
	open.ended = true
	p.fleet.After(platformTimeout, func() {
		open.process.deliver(mulberrybeam.WatchEnded{Kind: open.kind, Name: open.name, Err: err})
	})
}

func (p *Platform) checkReachable(process *Process) error {
	if p.down {
		p.fleet.countHit(FaultPlatformDown)
		return newFailure(mulberrybeam.CodePlatformDown, "platform is down")
	}
	if p.cutZones[process.Zone] {
		p.fleet.countHit(FaultPlatformCut)
		return newFailure(mulberrybeam.CodePlatformDown, "platform is unreachable")
	}
	return nil
}

func cloneObject(object mulberrybeam.Object) mulberrybeam.Object {
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
