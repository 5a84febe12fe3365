// Package assembler checks the answer stream of one request over several
// attempts. It holds no clock, connection or codec, so that any front end can
// use it.
package assembler

import (
	"strings"

	"mulberrybeam"
)

// Verdict says what to do with a token.
type Verdict string

// Verdicts.
const (
	// Deliver passes the token on to the caller.
	Deliver Verdict = "deliver"
	// Duplicate drops a token that the caller already has.
	Duplicate Verdict = "duplicate"
	// Foreign rejects a token of another request. The attempt must be
	// broken off, because the connection delivers another answer.
	Foreign Verdict = "foreign"
	// Lost rejects a token that leaves a gap. The attempt must be broken
	// off and resumed at State.Last.
	Lost Verdict = "lost"
	// Finished passes the end of a complete answer on to the caller.
	Finished Verdict = "finished"
)

// State is what has been received of one answer. The zero value with a
// request id is the state before the first token.
type State struct {
	Request mulberrybeam.RequestID
	// Last is the sequence number of the last delivered token. All tokens
	// up to it have been delivered once.
	Last uint64
	// Generated has the text of the tokens up to Last.
	Generated []string
	// Complete is true only after the end marker.
	Complete     bool
	FinishReason string
}

// Take checks one token and records it when it is delivered. The end marker
// takes part in the numbering: a stream of n tokens ends with sequence n+1, so
// that the loss of the last token is detected too.
func Take(state *State, token mulberrybeam.Token) Verdict {
	switch {
	case token.Request != state.Request:
		return Foreign
	case state.Complete:
		return Duplicate
	case token.Sequence > state.Last+1:
		return Lost
	case token.Sequence <= state.Last && token.End:
		// An end before the last delivered token contradicts that token.
		return Lost
	case token.Sequence <= state.Last:
		return Duplicate
	}
	state.Last = token.Sequence
	if token.End {
		state.Complete = true
		state.FinishReason = token.FinishReason
		return Finished
	}
	state.Generated = append(state.Generated, token.Text)
	return Deliver
}

// Text returns the text received so far.
func Text(state State) string { return strings.Join(state.Generated, "") }
