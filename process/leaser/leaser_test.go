package leaser_test

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/process/leaser"
)

// desk runs one leaser, with events and time controlled by the test.
type desk struct {
	machine *leaser.Leaser
	now     time.Duration
	rand    *rand.Rand
}

func newDesk(id mulberrybeam.ProcessID, peers ...mulberrybeam.ProcessID) *desk {
	d := &desk{rand: rand.New(rand.NewPCG(1, 2)), now: time.Minute}
	d.machine = leaser.New(mulberrybeam.Member{ID: id, Zone: "a", Address: string(id)}, leaser.WithEncoding(encode, decode))
	d.step(mulberrybeam.ConfigurationChanged{Tables: &mulberrybeam.Tables{
		Zones: map[mulberrybeam.ZoneName]mulberrybeam.Zone{"a": {Name: "a", Slots: 1}},
	}})
	var members []mulberrybeam.Member
	for _, peer := range append(peers, id) {
		members = append(members, mulberrybeam.Member{ID: peer, Zone: "a", Address: string(peer), State: mulberrybeam.MemberAlive})
	}
	d.step(mulberrybeam.MembersChanged{Members: members})
	return d
}

func (d *desk) step(event mulberrybeam.Event) []mulberrybeam.Action {
	return d.machine.Step(mulberrybeam.Turn{Now: d.now, Rand: d.rand}, event)
}

// until ticks for up to a minute until the machine returns an action that
// matches, and returns that action.
func until[A mulberrybeam.Action](d *desk, match func(A) bool) (found A, ok bool) {
	for end := d.now + time.Minute; d.now < end; d.now += 100 * time.Millisecond {
		for _, action := range d.step(mulberrybeam.Tick{}) {
			if a, is := action.(A); is && match(a) {
				return a, true
			}
		}
	}
	return found, false
}

// op matches calls of the object API by operation.
func op(kind mulberrybeam.ObjectOp) func(mulberrybeam.CallObject) bool {
	return func(call mulberrybeam.CallObject) bool { return call.Op == kind }
}

// answer delivers the answer to a call of the object API.
func (d *desk) answer(call mulberrybeam.CallObject, version string, err error) []mulberrybeam.Action {
	object := call.Object
	object.Version = version
	return d.step(mulberrybeam.ObjectReplied{Ticket: call.Ticket, Object: object, Err: err})
}

// rights returns the changes of rights among the actions.
func rights(actions []mulberrybeam.Action) (found []mulberrybeam.SlotRight) {
	for _, action := range actions {
		if raise, ok := action.(mulberrybeam.Raise); ok {
			if changed, ok := raise.Event.(mulberrybeam.RightChanged); ok {
				found = append(found, changed.Right)
			}
		}
	}
	return found
}

func encode(lease mulberrybeam.SlotLease) []byte {
	data, _ := json.Marshal(lease)
	return data
}

func decode(data []byte) (lease mulberrybeam.SlotLease, err error) {
	return lease, json.Unmarshal(data, &lease)
}

func failure(code mulberrybeam.Code) error { return &mulberrybeam.Failure{Code: code} }

// acquire answers that the slot object does not exist until the machine creates
// it, and returns the create call.
func (d *desk) acquire(is *is.I) mulberrybeam.CallObject {
	for range 100 {
		get, ok := until(d, op(mulberrybeam.OpGet))
		is.True(ok)
		for _, action := range d.answer(get, "", failure(mulberrybeam.CodeNotFound)) {
			create, ok := action.(mulberrybeam.CallObject)
			is.True(ok && create.Op == mulberrybeam.OpCreate)
			return create
		}
	}
	is.Fail()
	return mulberrybeam.CallObject{}
}

// Guards against a right that lasts longer than other processes wait because it
// counts from the answer to the write instead of from its send.
func TestRightCountsFromBeforeTheSend(t *testing.T) {
	is := is.New(t)
	d := newDesk("p/1")
	create := d.acquire(is)
	sent := d.now
	d.now += 2 * time.Second
	got := rights(d.answer(create, "1", nil))
	is.Equal(len(got), 1)
	is.Equal(got[0].Until, sent+9*time.Second)
	is.Equal(got[0].Epoch, mulberrybeam.Epoch(1))
}

// Guards against losing a right when the answer to a write is lost, and against
// counting the right from the read that confirms the write.
func TestLostAnswerIsReadBackByNonce(t *testing.T) {
	is := is.New(t)
	d := newDesk("p/1")
	create := d.acquire(is)
	sent := d.now
	is.Equal(len(rights(d.answer(create, "", failure(mulberrybeam.CodePlatformDown)))), 0)
	get, ok := until(d, op(mulberrybeam.OpGet))
	is.True(ok)
	get.Object.Data = create.Object.Data
	got := rights(d.answer(get, "1", nil))
	is.Equal(len(got), 1)
	is.Equal(got[0].Until, sent+9*time.Second)
}

// Guards against an extension by an elector that is missing from a lease whose
// write is unconfirmed. A process that takes over would not fence that elector.
func TestOnlyElectorsOfAllPossibleRecordsExtend(t *testing.T) {
	is := is.New(t)
	d := newDesk("p/1", "q/1", "r/1")
	d.answer(d.acquire(is), "1", nil)
	// r leaves. The renewal replaces r by s, and its outcome is unknown.
	d.step(mulberrybeam.MembersChanged{Members: []mulberrybeam.Member{
		{ID: "p/1", Zone: "a", State: mulberrybeam.MemberAlive},
		{ID: "q/1", Zone: "a", Address: "q", State: mulberrybeam.MemberAlive},
		{ID: "r/1", Zone: "a", Address: "r", State: mulberrybeam.MemberLeaving},
		{ID: "s/1", Zone: "a", Address: "s", State: mulberrybeam.MemberAlive},
	}})
	update, ok := until(d, op(mulberrybeam.OpUpdate))
	is.True(ok)
	d.answer(update, "", failure(mulberrybeam.CodePlatformDown))
	asked := map[mulberrybeam.ProcessID]bool{}
	_, _ = until(d, func(call mulberrybeam.Call) bool {
		asked[call.To] = true
		return false
	})
	is.Equal(asked, map[mulberrybeam.ProcessID]bool{"q/1": true})
}

// Guards against a takeover while an elector may still extend the former
// holder's right.
func TestTakeOverNeedsEveryPromise(t *testing.T) {
	is := is.New(t)
	d := newDesk("p/1", "q/1", "r/1")
	old := encode(mulberrybeam.SlotLease{Holder: "q/1", Epoch: 4, Electors: []mulberrybeam.ProcessID{"p/1", "r/1"}})
	serve := func(stop time.Duration) (fence mulberrybeam.Call, took bool) {
		for ; d.now < stop; d.now += 100 * time.Millisecond {
			for _, action := range d.step(mulberrybeam.Tick{}) {
				call, ok := action.(mulberrybeam.CallObject)
				if !ok {
					continue
				}
				call.Object.Data = old
				for _, action := range d.answer(call, "7", nil) {
					switch action := action.(type) {
					case mulberrybeam.Call:
						fence = action
					case mulberrybeam.CallObject:
						lease, _ := decode(action.Object.Data)
						is.Equal(lease.Epoch, mulberrybeam.Epoch(5))
						return fence, true
					}
				}
			}
		}
		return fence, false
	}
	fence, took := serve(d.now + 10*time.Second)
	is.True(!took && fence.To == "") // no fence before the lease has expired
	fence, took = serve(d.now + 30*time.Second)
	is.True(!took)
	is.Equal(fence.To, mulberrybeam.ProcessID("r/1"))
	d.step(mulberrybeam.ReplyReceived{Ticket: fence.Ticket, Message: mulberrybeam.FenceReply{Fenced: true, Remaining: 5 * time.Second}})
	_, took = serve(d.now + 5*time.Second)
	is.True(!took)
	_, took = serve(d.now + 10*time.Second)
	is.True(took)
}

// Guards against a release that is not written before the process ends, and
// against a next holder that starts while permits of the former one are valid.
func TestReleaseIsWrittenAtOnceAndTakenLater(t *testing.T) {
	is := is.New(t)
	d := newDesk("p/1")
	d.answer(d.acquire(is), "1", nil)
	ended := rights(d.step(mulberrybeam.ShutdownAsked{}))
	is.Equal(len(ended), 1)
	is.True(ended[0].Until <= d.now)
	asked := d.now
	update, ok := until(d, op(mulberrybeam.OpUpdate))
	is.True(ok)
	is.True(d.now-asked < time.Second)
	lease, err := decode(update.Object.Data)
	is.NoErr(err)
	is.Equal(lease.Holder, mulberrybeam.ProcessID(""))

	next := newDesk("q/1")
	seen := time.Duration(0)
	for range 100 {
		get, ok := until(next, op(mulberrybeam.OpGet))
		is.True(ok)
		seen = cmp.Or(seen, next.now)
		get.Object.Data = update.Object.Data
		if len(next.answer(get, "2", nil)) > 0 {
			break
		}
	}
	is.True(next.now-seen >= 2*time.Second+100*time.Millisecond) // 2 s on a clock that is 5% slower
	is.True(next.now-seen < 4*time.Second)
}

// Guards against a holder that can no longer be extended after another process
// has fenced its epoch without taking over.
func TestRefusedExtensionStartsANewEpoch(t *testing.T) {
	is := is.New(t)
	d := newDesk("p/1", "q/1")
	d.answer(d.acquire(is), "1", nil)
	renewal, _ := until(d, op(mulberrybeam.OpUpdate))
	d.answer(renewal, "", failure(mulberrybeam.CodePlatformDown))
	extend, ok := until(d, func(call mulberrybeam.Call) bool { return call.To == "q/1" })
	is.True(ok)
	d.step(mulberrybeam.ReplyReceived{Ticket: extend.Ticket, Message: mulberrybeam.ExtendReply{}})
	for range 3 { // a read after the lost answer, then the next renewal
		call, ok := until(d, func(mulberrybeam.CallObject) bool { return true })
		is.True(ok)
		if lease, _ := decode(call.Object.Data); lease.Epoch == 2 {
			is.Equal(rights(d.answer(call, "2", nil))[0].Epoch, mulberrybeam.Epoch(2))
			return
		}
		call.Object.Data = encode(mulberrybeam.SlotLease{Holder: "p/1", Epoch: 1, Electors: []mulberrybeam.ProcessID{"q/1"}})
		d.answer(call, "1", nil)
	}
	is.Fail()
}
