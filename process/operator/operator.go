// Package operator serves the HTTP endpoints for operators of an entry process:
// status, timeline, metrics and profiles.
package operator

import (
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"

	"github.com/kataras/iris/v12"

	"mulberrybeam"
)

// Status is the state of an entry process and what it knows of the others.
type Status struct {
	Process     mulberrybeam.ProcessID       `json:"process"`
	Zone        mulberrybeam.ZoneName        `json:"zone"`
	Ready       bool                         `json:"ready"`
	Draining    bool                         `json:"draining"`
	Environment mulberrybeam.EnvironmentName `json:"environment"`
	Revision    mulberrybeam.Revision        `json:"revision"`
	Members     []Member                     `json:"members"`
	Relays      []Member                     `json:"relays"`
	Targets     []Target                     `json:"targets"`
	Slots       []Slot                       `json:"slots"`
}

// Member is an entry process known to this one.
type Member struct {
	Process  mulberrybeam.ProcessID   `json:"process"`
	Zone     mulberrybeam.ZoneName    `json:"zone"`
	Address  string                   `json:"address"`
	State    mulberrybeam.MemberState `json:"state"`
	Revision mulberrybeam.Revision    `json:"revision"`
}

// Target is an engine or a service instance.
type Target struct {
	ID       mulberrybeam.TargetID   `json:"id"`
	Zone     mulberrybeam.ZoneName   `json:"zone"`
	Group    string                  `json:"group"`
	Phase    mulberrybeam.Phase      `json:"phase"`
	Instance mulberrybeam.InstanceID `json:"instance"`
	Running  int                     `json:"running"`
	Waiting  int                     `json:"waiting"`
	Owner    mulberrybeam.ProcessID  `json:"owner"`
}

// Slot is a slot lease held by the process.
type Slot struct {
	Zone   mulberrybeam.ZoneName `json:"zone"`
	Number int                   `json:"number"`
	Epoch  mulberrybeam.Epoch    `json:"epoch"`
}

// Entry is an event on the timeline.
type Entry struct {
	WallMS  int64                  `json:"wall-ms"`
	Counter uint32                 `json:"counter"`
	Process mulberrybeam.ProcessID `json:"process"`
	Kind    mulberrybeam.EntryKind `json:"kind"`
	Request mulberrybeam.RequestID `json:"request,omitempty"`
	Subject string                 `json:"subject,omitempty"`
	Text    string                 `json:"text"`
}

// Stamp returns the entry's hybrid logical clock stamp.
func (e Entry) Stamp() mulberrybeam.Stamp {
	return mulberrybeam.Stamp{Wall: e.WallMS, Counter: e.Counter, Process: e.Process}
}

// Sources provide the data of the endpoints. Without Metrics there is no
// /metrics endpoint.
type Sources struct {
	Snapshot func() *mulberrybeam.Snapshot
	Entries  func() []mulberrybeam.Entry
	Metrics  http.Handler
}

// New returns the handler of the endpoints.
func New(sources Sources) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/operator/status", func(ctx iris.Context) {
		_ = ctx.JSON(NewStatus(sources.Snapshot()))
	})
	app.Get("/operator/timeline", func(ctx iris.Context) {
		_ = ctx.JSON(filterEntries(sources.Entries(), ctx.URLParam("request"), ctx.URLParam("since-ms")))
	})
	if sources.Metrics != nil {
		app.Get("/metrics", iris.FromStd(sources.Metrics))
	}
	app.Get("/debug/pprof/", iris.FromStd(http.HandlerFunc(pprof.Index)))
	app.Get("/debug/pprof/profile", iris.FromStd(http.HandlerFunc(pprof.Profile)))
	for _, profile := range []string{"heap", "goroutine", "mutex", "block"} {
		app.Get("/debug/pprof/"+profile, iris.FromStd(pprof.Handler(profile)))
	}
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// NewStatus returns the status for a snapshot, with the targets sorted by ID.
func NewStatus(snapshot *mulberrybeam.Snapshot) Status {
	status := Status{
		Process:  snapshot.Self,
		Zone:     snapshot.Zone,
		Ready:    snapshot.Ready,
		Draining: snapshot.Draining,
		Members:  convertMembers(snapshot.Members),
		Relays:   convertMembers(snapshot.Relays),
		Targets:  convertTargets(snapshot),
		Slots:    []Slot{},
	}
	if snapshot.Tables != nil {
		status.Environment = snapshot.Tables.Environment.Name
		status.Revision = snapshot.Tables.Environment.Revision
	}
	for _, ownership := range snapshot.OwnedSlots {
		status.Slots = append(status.Slots, Slot{ownership.Slot.Zone, ownership.Slot.Number, ownership.Epoch})
	}
	return status
}

func convertMembers(members []mulberrybeam.Member) []Member {
	list := make([]Member, 0, len(members))
	for _, member := range members {
		list = append(list, Member{member.ID, member.Zone, member.Address, member.State, member.Revision})
	}
	return list
}

func convertTargets(snapshot *mulberrybeam.Snapshot) []Target {
	list := []Target{}
	if snapshot.Tables == nil {
		return list
	}
	for id, declared := range snapshot.Tables.Targets {
		state := snapshot.Targets[id]
		list = append(list, Target{
			ID:       id,
			Zone:     declared.Zone,
			Group:    declared.Group,
			Phase:    state.Phase,
			Instance: state.Instance,
			Running:  state.Report.Running,
			Waiting:  state.Report.Waiting,
			Owner:    state.Owner,
		})
	}
	slices.SortFunc(list, func(a, b Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// filterEntries returns the entries of a request, or of all requests if it is
// empty, from a wall time on.
func filterEntries(entries []mulberrybeam.Entry, request, sinceMS string) []Entry {
	since, _ := strconv.ParseInt(sinceMS, 10, 64)
	list := []Entry{}
	for _, entry := range entries {
		if request != "" && string(entry.Request) != request || entry.Stamp.Wall < since {
			continue
		}
		list = append(list, Entry{
			WallMS:  entry.Stamp.Wall,
			Counter: entry.Stamp.Counter,
			Process: entry.Process,
			Kind:    entry.Kind,
			Request: entry.Request,
			Subject: entry.Subject,
			Text:    entry.Text,
		})
	}
	return list
}
