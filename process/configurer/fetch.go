package configurer

import (
	"cmp"
	"fmt"
	"slices"

	"mulberrybeam"
)

// addSource remembers a peer that has a higher revision than this process. If
// there are too many such peers, it replaces the one with the lowest revision,
// unless that is above the peer's.
func (c *Configurer) addSource(event mulberrybeam.RevisionSeen) {
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

// tryFetch requests the document from a random one of the peers with the
// highest revision.
func (c *Configurer) tryFetch() {
	if !c.fetch.due(c.turn.Now) || len(c.sources) == 0 {
		return
	}
	var highest mulberrybeam.Revision
	var candidates []mulberrybeam.RevisionSeen
	for _, source := range c.sources {
		switch {
		case c.rejectedUntil[source.Revision] > c.turn.Now || source.Revision < highest:
		case source.Revision > highest:
			highest, candidates = source.Revision, []mulberrybeam.RevisionSeen{source}
		default:
			candidates = append(candidates, source)
		}
	}
	if len(candidates) == 0 {
		return
	}
	source := candidates[c.turn.Rand.IntN(len(candidates))]
	c.fetch.start(c.turn)
	c.emit(mulberrybeam.Call{
		To: source.From, Address: source.Address, Ticket: c.fetch.ticket, Timeout: fetchTimeout,
		Message: mulberrybeam.FetchEnvironment{From: c.self.ID, Above: c.revision},
	})
}

// handleFetchReply applies a document received from a peer. A peer that failed
// or has nothing newer is forgotten until its revision is reported again.
func (c *Configurer) handleFetchReply(event mulberrybeam.ReplyReceived) {
	if !c.fetch.finish(event.Ticket) {
		return
	}
	c.fetch.nextAt = c.turn.Now + minFetchInterval
	reply, matches := event.Message.(mulberrybeam.FetchEnvironmentReply)
	if event.Err != nil || !matches || len(reply.Document) == 0 {
		c.sources = slices.DeleteFunc(c.sources, func(source mulberrybeam.RevisionSeen) bool { return source.From == event.From })
		return
	}
	environment, err := c.parseDocument(reply.Document)
	if err == nil && environment.Revision != reply.Revision {
		err = fmt.Errorf("its document contains revision %d", environment.Revision)
	}
	if err != nil {
		c.rejectedUntil[reply.Revision] = c.turn.Now + rejectionPeriod
		c.logEntry(fmt.Sprintf("rejected revision %d from peer %s: %v", reply.Revision, event.From, err))
		return
	}
	c.applyDocument(environment, reply.Document)
}

// answerFetch answers a peer's FetchEnvironment. The reply has no document if
// the peer already has this revision or a higher one.
func (c *Configurer) answerFetch(ticket mulberrybeam.Ticket, message mulberrybeam.FetchEnvironment) {
	reply := mulberrybeam.FetchEnvironmentReply{Revision: c.revision}
	if c.revision > message.Above {
		reply.Document = c.document
	}
	c.emit(mulberrybeam.Reply{Ticket: ticket, Message: reply})
}

// removeObsolete removes the sources and rejections of revisions that are not
// above the one in force, and rejections that have expired.
func (c *Configurer) removeObsolete() {
	c.sources = slices.DeleteFunc(c.sources, func(source mulberrybeam.RevisionSeen) bool { return source.Revision <= c.revision })
	for revision, until := range c.rejectedUntil {
		if revision <= c.revision || until <= c.turn.Now {
			delete(c.rejectedUntil, revision)
		}
	}
}
