package promoter

import (
	"slices"
	"time"

	"mulberrybeam"
	"mulberrybeam/version/judge"
)

const (
	// freshReport is the age up to which a report shows that its host is heard.
	freshReport = 1500 * time.Millisecond
	// silentAfter is how long a host without reports is waited for. A host that is
	// silent for longer is not connected.
	silentAfter = 4 * time.Second
)

// run is one run of a host.
type run struct {
	host        mulberrybeam.ProcessID
	incarnation uint64
}

type countKey struct {
	route  string
	isNew  bool
	target mulberrybeam.InstanceID
}

// evidence has the counts of all hosts for one order.
type evidence struct {
	order  uint64
	since  time.Duration
	runs   map[run]map[countKey]mulberrybeam.RolloutCounts
	totals map[countKey]*mulberrybeam.RolloutCounts
	hosts  map[mulberrybeam.ProcessID]hostReport
}

// hostReport is what a host last reported.
type hostReport struct {
	at      time.Duration
	drained mulberrybeam.RolloutStage
}

func newEvidence(order uint64, since time.Duration) *evidence {
	return &evidence{
		order: order, since: since, runs: map[run]map[countKey]mulberrybeam.RolloutCounts{},
		totals: map[countKey]*mulberrybeam.RolloutCounts{}, hosts: map[mulberrybeam.ProcessID]hostReport{},
	}
}

// add adds what the report's counts have increased by. Lower counts are those of
// a late or repeated datagram.
func (e *evidence) add(now time.Duration, from run, report mulberrybeam.RolloutReport) {
	e.hosts[from.host] = hostReport{at: now, drained: report.Drained}
	known := e.runs[from]
	if known == nil {
		known = map[countKey]mulberrybeam.RolloutCounts{}
		e.runs[from] = known
	}
	for _, counts := range report.Counts {
		key := countKey{counts.Route, counts.New, counts.Target}
		last := known[key]
		if counts.Responses <= last.Responses {
			continue
		}
		known[key] = counts
		total := e.totals[key]
		if total == nil {
			total = &mulberrybeam.RolloutCounts{Route: counts.Route, New: counts.New, Streaming: counts.Streaming, Target: counts.Target}
			e.totals[key] = total
		}
		total.Responses += counts.Responses - last.Responses
		total.Failures += counts.Failures - min(last.Failures, counts.Failures)
		for i := range counts.FirstResponse {
			total.FirstResponse[i] += counts.FirstResponse[i] - min(last.FirstResponse[i], counts.FirstResponse[i])
		}
	}
}

func (e *evidence) sums() []mulberrybeam.RolloutCounts {
	sums := make([]mulberrybeam.RolloutCounts, 0, len(e.totals))
	for _, total := range e.totals {
		sums = append(sums, *total)
	}
	return sums
}

// goodWithoutOne reports whether the version is judged good by the counts without
// those of one target, of at least two targets.
func (e *evidence) goodWithoutOne(now time.Duration, targets int) bool {
	counted := map[mulberrybeam.InstanceID]bool{}
	for key := range e.totals {
		if key.isNew && key.target != "" {
			counted[key.target] = true
		}
	}
	if len(counted) < minLoadedTargets {
		return false
	}
	for id := range counted {
		without := slices.DeleteFunc(e.sums(), func(counts mulberrybeam.RolloutCounts) bool { return counts.New && counts.Target == id })
		rest := judge.New()
		rest.Observe(now, without, targets-1)
		if rest.Verdict().Good {
			return true
		}
	}
	return false
}

// heard reports whether this process hears from at least half of the hosts that
// it heard of during the order.
func (e *evidence) heard(now time.Duration) bool {
	fresh := 0
	for _, report := range e.hosts {
		if now-report.at < freshReport {
			fresh++
		}
	}
	return 2*fresh >= len(e.hosts)
}

// drained reports whether all connected hosts are in a stage and use no old
// targets. Hosts without a report are waited for since they have registered or
// the order was accepted. Entries of dead hosts stay in the store.
func (e *evidence) drained(stage mulberrybeam.RolloutStage, now time.Duration, registered map[mulberrybeam.ProcessID]time.Duration) bool {
	for id, since := range registered {
		if _, reported := e.hosts[id]; !reported && now-max(since, e.since) < silentAfter {
			return false
		}
	}
	for _, report := range e.hosts {
		if report.drained != stage && now-report.at < silentAfter {
			return false
		}
	}
	return len(e.hosts) > 0
}

// handleReport adds the reports of a host. A host that has judged a version to be
// bad is followed.
func (p *Promoter) handleReport(turn mulberrybeam.Turn, event mulberrybeam.RolloutReported) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, report := range event.Reports {
		s := p.services[report.Service]
		if s == nil || s.active == nil || report.Order == 0 || report.Order != s.active.progress.Order {
			continue
		}
		s.active.evidence.add(turn.Now, run{event.From, event.Incarnation}, report)
		if report.Bad && event.From != p.self {
			actions = append(actions, p.markBad(s, "announced by "+string(event.From))...)
		}
	}
	return actions
}

// judge feeds new counts into the test.
func (p *Promoter) judge(turn mulberrybeam.Turn) []mulberrybeam.Action {
	var actions []mulberrybeam.Action
	for _, s := range p.activeServices() {
		if s.active.progress.Order == 0 {
			continue
		}
		s.active.judge.Observe(turn.Now, s.active.evidence.sums(), len(p.newTargets(s)))
		if verdict := s.active.judge.Verdict(); verdict.Bad {
			actions = append(actions, p.markBad(s, verdict.Text)...)
		}
	}
	return actions
}

func (p *Promoter) markBad(s *service, why string) []mulberrybeam.Action {
	if s.active.bad {
		return nil
	}
	s.active.bad = true
	s.rolledBack[s.active.spec.To] = true
	return []mulberrybeam.Action{note(string(s.name), "version "+string(s.active.spec.To)+" is bad: "+why)}
}
