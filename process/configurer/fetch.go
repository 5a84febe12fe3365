package configurer

import (
	"cmp"
	"fmt"
	"slices"

	"mulberrybeam"
)

// seen remembers a peer that has a higher revision, in the place of one with a
// lower revision if there are too many.
func (c *Configurer) seen(event mulberrybeam.RevisionSeen) {
	if event.Revision <= c.revision {
		return
	}
	c.sources = slices.DeleteFunc(c.sources, func(source mulberrybeam.RevisionSeen) bool { return source.Address == event.Address })
	if len(c.sources) == maxSources {
		lowest := slices.MinFunc(c.sources, func(a, b mulberrybeam.RevisionSeen) int { return cmp.Compare(a.Revision, b.Revision) })
		if lowest.Revision > event.Revision {
			return
		}
		c.sources = slices.Delete(c.sources, slices.Index(c.sources, lowest), slices.Index(c.sources, lowest)+1)
	}
	c.sources = append(c.sources, event)
	c.tryFetch()
}

// tryFetch asks one of the peers with the highest revision for its document.
func (c *Configurer) tryFetch() {
	if !c.fetch.due(c.turn.Now) || len(c.sources) == 0 {
		return
	}
	var highest mulberrybeam.Revision
	var best []mulberrybeam.RevisionSeen
	for _, source := range c.sources {
		switch {
		case c.refused[source.Revision] > c.turn.Now || source.Revision < highest:
		case source.Revision > highest:
			highest, best = source.Revision, []mulberrybeam.RevisionSeen{source}
		default:
			best = append(best, source)
		}
	}
	if len(best) == 0 {
		return
	}
	source := best[c.turn.Rand.IntN(len(best))]
	c.fetch.begin(c.turn)
	c.emit(mulberrybeam.Call{
		To: source.From, Address: source.Address, Ticket: c.fetch.ticket, Timeout: fetchTimeout,
		Message: mulberrybeam.FetchEnvironment{From: c.self.ID, Above: c.revision},
	})
}

// fetched takes in a peer's document. A peer that failed or has nothing newer
// is forgotten until it is heard of again.
func (c *Configurer) fetched(event mulberrybeam.ReplyReceived) {
	if !c.fetch.concludes(event.Ticket) {
		return
	}
	c.fetch.next = c.turn.Now + fetchGap
	reply, matches := event.Message.(mulberrybeam.FetchEnvironmentReply)
	if event.Err != nil || !matches || len(reply.Document) == 0 {
		c.sources = slices.DeleteFunc(c.sources, func(source mulberrybeam.RevisionSeen) bool { return source.From == event.From })
		return
	}
	environment, err := c.check(reply.Document)
	if err == nil && environment.Revision != reply.Revision {
		err = fmt.Errorf("document has revision %d", environment.Revision)
	}
	if err != nil {
		c.refused[reply.Revision] = c.turn.Now + refusedFor
		c.note(fmt.Sprintf("revision %d of %s refused: %v", reply.Revision, event.From, err))
		return
	}
	c.accept(environment, reply.Document)
}

// serve answers a peer's fetch.
func (c *Configurer) serve(ticket mulberrybeam.Ticket, message mulberrybeam.FetchEnvironment) {
	reply := mulberrybeam.FetchEnvironmentReply{Revision: c.revision}
	if c.revision > message.Above {
		reply.Document = c.document
	}
	c.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

// forget drops what concerns revisions up to the one in force, and refusals
// that have ended.
func (c *Configurer) forget() {
	c.sources = slices.DeleteFunc(c.sources, func(source mulberrybeam.RevisionSeen) bool { return source.Revision <= c.revision })
	for revision, until := range c.refused {
		if revision <= c.revision || until <= c.turn.Now {
			delete(c.refused, revision)
		}
	}
}
