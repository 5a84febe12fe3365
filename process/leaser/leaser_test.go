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

// harness runs one leaser, with events and time controlled by the test.
type harness struct {
	machine *leaser.Leaser
	now     time.Duration
	rand    *rand.Rand
}

func newHarness(id mulberrybeam.ProcessID, peers ...mulberrybeam.ProcessID) *harness {
	h := &harness{rand: rand.New(rand.NewPCG(1, 2)), now: time.Minute}
	h.machine = leaser.New(mulberrybeam.Member{ID: id, Zone: "a", Address: string(id)}, leaser.WithEncoding(encode, decode))
	h.step(mulberrybeam.ConfigurationChanged{Tables: &mulberrybeam.Tables{
		Zones: map[mulberrybeam.ZoneName]mulberrybeam.Zone{"a": {Name: "a", Slots: 1}},
	}})
	var members []mulberrybeam.Member
	for _, peer := range append(peers, id) {
		members = append(members, mulberrybeam.Member{ID: peer, Zone: "a", Address: string(peer), State: mulberrybeam.MemberAlive})
	}
	h.step(mulberrybeam.MembersChanged{Members: members})
	return h
}

func (h *harness) step(event mulberrybeam.Event) []mulberrybeam.Action {
	return h.machine.Step(mulberrybeam.Turn{Now: h.now, Rand: h.rand}, event)
}

// tickUntil ticks for up to a minute until the machine returns an action that
// matches, and returns that action.
func tickUntil[A mulberrybeam.Action](h *harness, match func(A) bool) (found A, ok bool) {
	for end := h.now + time.Minute; h.now < end; h.now += 100 * time.Millisecond {
		for _, action := range h.step(mulberrybeam.Tick{}) {
			if a, matched := action.(A); matched && match(a) {
				return a, true
			}
		}
	}
	return found, false
}

// withOp matches calls of the object API by operation.
func withOp(kind mulberrybeam.ObjectOp) func(mulberrybeam.CallObject) bool {
	return func(call mulberrybeam.CallObject) bool { return call.Op == kind }
}

// answer delivers the answer to a call of the object API.
func (h *harness) answer(call mulberrybeam.CallObject, version string, err error) []mulberrybeam.Action {
	object := call.Object
	object.Version = version
	return h.step(mulberrybeam.ObjectReplied{Ticket: call.Ticket, Object: object, Err: err})
}

// ownershipChanges returns the changes of slot ownership among the actions.
func ownershipChanges(actions []mulberrybeam.Action) (found []mulberrybeam.SlotOwnership) {
	for _, action := range actions {
		if raise, ok := action.(mulberrybeam.EmitEvent); ok {
			if changed, ok := raise.Event.(mulberrybeam.SlotOwnershipChanged); ok {
				found = append(found, changed.Ownership)
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

func failureWith(code mulberrybeam.Code) error { return &mulberrybeam.Failure{Code: code} }

// acquire answers that the slot object does not exist until the machine creates
// it, and returns the create call.
func (h *harness) acquire(is *is.I) mulberrybeam.CallObject {
	for range 100 {
		get, ok := tickUntil(h, withOp(mulberrybeam.OpGet))
		is.True(ok)
		for _, action := range h.answer(get, "", failureWith(mulberrybeam.CodeNotFound)) {
			create, ok := action.(mulberrybeam.CallObject)
			is.True(ok && create.Op == mulberrybeam.OpCreate)
			return create
		}
	}
	is.Fail()
	return mulberrybeam.CallObject{}
}

// Guards against ownership that lasts longer than other processes wait because it
// counts from the answer to the write instead of from its send.
func TestOwnershipCountsFromSendOfWrite(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1")
	create := h.acquire(is)
	sent := h.now
	h.now += 2 * time.Second
	got := ownershipChanges(h.answer(create, "1", nil))
	is.Equal(len(got), 1)
	is.Equal(got[0].Until, sent+9*time.Second)
	is.Equal(got[0].Epoch, mulberrybeam.Epoch(1))
}

// Guards against losing ownership when the answer to a write is lost, and
// against counting ownership from the read that confirms the write.
func TestLostAnswerIsRecoveredByNonce(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1")
	create := h.acquire(is)
	sent := h.now
	is.Equal(len(ownershipChanges(h.answer(create, "", failureWith(mulberrybeam.CodePlatformDown)))), 0)
	get, ok := tickUntil(h, withOp(mulberrybeam.OpGet))
	is.True(ok)
	get.Object.Data = create.Object.Data
	got := ownershipChanges(h.answer(get, "1", nil))
	is.Equal(len(got), 1)
	is.Equal(got[0].Until, sent+9*time.Second)
}

// Guards against an extension by an elector that is missing from a lease whose
// write is unconfirmed. A process that takes over would not fence that elector.
func TestOnlyElectorsCommonToAllLeasesExtend(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1", "q/1", "r/1")
	h.answer(h.acquire(is), "1", nil)
	// r leaves. The renewal replaces r by s, and its outcome is unknown.
	h.step(mulberrybeam.MembersChanged{Members: []mulberrybeam.Member{
		{ID: "p/1", Zone: "a", State: mulberrybeam.MemberAlive},
		{ID: "q/1", Zone: "a", Address: "q", State: mulberrybeam.MemberAlive},
		{ID: "r/1", Zone: "a", Address: "r", State: mulberrybeam.MemberLeaving},
		{ID: "s/1", Zone: "a", Address: "s", State: mulberrybeam.MemberAlive},
	}})
	update, ok := tickUntil(h, withOp(mulberrybeam.OpUpdate))
	is.True(ok)
	h.answer(update, "", failureWith(mulberrybeam.CodePlatformDown))
	asked := map[mulberrybeam.ProcessID]bool{}
	_, _ = tickUntil(h, func(call mulberrybeam.Call) bool {
		asked[call.To] = true
		return false
	})
	is.Equal(asked, map[mulberrybeam.ProcessID]bool{"q/1": true})
}

// Guards against a takeover while an elector may still extend the former
// holder's ownership.
func TestTakeoverNeedsAllElectorsFenced(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1", "q/1", "r/1")
	old := encode(mulberrybeam.SlotLease{Holder: "q/1", Epoch: 4, Electors: []mulberrybeam.ProcessID{"p/1", "r/1"}})
	serve := func(stop time.Duration) (fence mulberrybeam.Call, took bool) {
		for ; h.now < stop; h.now += 100 * time.Millisecond {
			for _, action := range h.step(mulberrybeam.Tick{}) {
				call, ok := action.(mulberrybeam.CallObject)
				if !ok {
					continue
				}
				call.Object.Data = old
				for _, action := range h.answer(call, "7", nil) {
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
	fence, took := serve(h.now + 10*time.Second)
	is.True(!took && fence.To == "") // no fence before the lease has expired
	fence, took = serve(h.now + 30*time.Second)
	is.True(!took)
	is.Equal(fence.To, mulberrybeam.ProcessID("r/1"))
	h.step(mulberrybeam.ReplyReceived{Ticket: fence.Ticket, Message: mulberrybeam.FenceReply{Fenced: true, Remaining: 5 * time.Second}})
	_, took = serve(h.now + 5*time.Second)
	is.True(!took)
	_, took = serve(h.now + 10*time.Second)
	is.True(took)
}

// Guards against a release that is not written before the process ends, and
// against a next holder that starts while permits of the former one are valid.
func TestReleaseIsWrittenAtOnceAndAcquiredAfterDelay(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1")
	h.answer(h.acquire(is), "1", nil)
	ended := ownershipChanges(h.step(mulberrybeam.ShutdownRequested{}))
	is.Equal(len(ended), 1)
	is.True(ended[0].Until <= h.now)
	asked := h.now
	update, ok := tickUntil(h, withOp(mulberrybeam.OpUpdate))
	is.True(ok)
	is.True(h.now-asked < time.Second)
	lease, err := decode(update.Object.Data)
	is.NoErr(err)
	is.Equal(lease.Holder, mulberrybeam.ProcessID(""))

	next := newHarness("q/1")
	seen := time.Duration(0)
	for range 100 {
		get, ok := tickUntil(next, withOp(mulberrybeam.OpGet))
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
func TestRefusedExtensionStartsNewEpoch(t *testing.T) {
	is := is.New(t)
	h := newHarness("p/1", "q/1")
	h.answer(h.acquire(is), "1", nil)
	renewal, _ := tickUntil(h, withOp(mulberrybeam.OpUpdate))
	h.answer(renewal, "", failureWith(mulberrybeam.CodePlatformDown))
	extend, ok := tickUntil(h, func(call mulberrybeam.Call) bool { return call.To == "q/1" })
	is.True(ok)
	h.step(mulberrybeam.ReplyReceived{Ticket: extend.Ticket, Message: mulberrybeam.ExtendReply{}})
	for range 3 { // a read after the lost answer, then the next renewal
		call, ok := tickUntil(h, func(mulberrybeam.CallObject) bool { return true })
		is.True(ok)
		if lease, _ := decode(call.Object.Data); lease.Epoch == 2 {
			is.Equal(ownershipChanges(h.answer(call, "2", nil))[0].Epoch, mulberrybeam.Epoch(2))
			return
		}
		call.Object.Data = encode(mulberrybeam.SlotLease{Holder: "p/1", Epoch: 1, Electors: []mulberrybeam.ProcessID{"q/1"}})
		h.answer(call, "1", nil)
	}
	is.Fail()
}
