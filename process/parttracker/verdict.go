package parttracker

import (
	"fmt"
	"time"

	"mulberrybeam"
	"mulberrybeam/request/quarantiner"
)

// suspicions returns the suspicions that the fleet publishes.
func (t *Tracker) suspicions() map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion {
	suspicions := map[mulberrybeam.SharedPart]mulberrybeam.PartSuspicion{}
	for part, known := range t.parts {
		if known.Crashes >= quarantiner.SuspicionThreshold {
			suspicions[part] = t.suspicion(known)
		}
	}
	return suspicions
}

// suspicion returns what is known against a part. A part all of whose crashes are
// explained by another part is not convicted.
func (t *Tracker) suspicion(known *evidence) mulberrybeam.PartSuspicion {
	suspicion := known.PartSuspicion
	if t.explained(known) {
		suspicion.Crashes = min(suspicion.Crashes, known.threshold-1)
	}
	return suspicion
}

// explained reports whether another part was in flight at all these crashes and at
// more, or a repeated request at all of them. An innocent part that is often in the same
// prompts as one that crashes targets is then not held responsible for it.
func (t *Tracker) explained(known *evidence) bool {
	if !known.refusable() {
		return false
	}
	for _, other := range t.parts {
		isStronger := other.Crashes > known.Crashes || other.Crashes == known.Crashes && other.threshold < known.threshold
		if isStronger && other.covers(known) {
			return true
		}
	}
	return false
}

// covers reports whether all crashes that count against other count against e.
func (e *evidence) covers(other *evidence) bool {
	for target, crash := range other.crashes {
		if crash.cleared {
			continue
		}
		if own, found := e.crashes[target]; !found || own.cleared {
			return false
		}
	}
	return true
}

// recordVerdict records that requests with a part are refused from now on, or are no
// longer refused.
func (t *Tracker) recordVerdict(turn mulberrybeam.Turn, part mulberrybeam.SharedPart, known *evidence) []mulberrybeam.Action {
	convicted := quarantiner.Convicted(part, t.suspicion(known), turn.Now)
	if convicted == known.convicted {
		return nil
	}
	known.convicted = convicted
	switch {
	case convicted:
		return verdictEntry(mulberrybeam.EntryConviction, part, fmt.Sprintf(
			"requests with the part are refused: it was in flight at the crashes of %v and has not completed since, next trial at the earliest %s after the last one",
			known.uncleared(), quarantiner.TrialDelay(known.FailedTrials).Round(time.Second)))
	case known.refusable():
		return verdictEntry(mulberrybeam.EntryAcquittal, part, "requests with the part are no longer refused: another part was in flight at all its crashes and at more")
	}
	return verdictEntry(mulberrybeam.EntryAcquittal, part, "requests with the part are no longer refused: one of them got a complete answer")
}

func verdictEntry(kind mulberrybeam.EntryKind, part mulberrybeam.SharedPart, text string) []mulberrybeam.Action {
	return []mulberrybeam.Action{
		mulberrybeam.PublishSnapshot{},
		mulberrybeam.RecordEntry{Entry: mulberrybeam.Entry{Kind: kind, Subject: string(part), Text: text}},
	}
}
