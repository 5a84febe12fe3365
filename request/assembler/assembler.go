// Package assembler validates the token stream of one request across several
// attempts. It uses no clock, connection or codec, so that any front end can
// use it.
package assembler

import (
	"strings"

	"mulberrybeam"
)

// Verdict says how to handle a received token.
type Verdict string

// Verdicts.
const (
	// Deliver means that the token is the next one and goes to the caller.
	Deliver Verdict = "deliver"
	// Duplicate means that the caller already has the token; it is dropped.
	Duplicate Verdict = "duplicate"
	// OtherRequest means that the token belongs to another request. The attempt
	// must be aborted, because the connection carries another response.
	OtherRequest Verdict = "foreign"
	// Gap means that the stream has a gap before the token. The attempt must
	// be aborted and the stream resumed after State.Last.
	Gap Verdict = "lost"
	// Finished means that the token is the end marker of a complete response
	// and goes to the caller.
	Finished Verdict = "finished"
)

// State is the received part of one response. The zero value with a request ID
// is the state before the first token.
type State struct {
	Request mulberrybeam.RequestID
	// Last is the sequence number of the last delivered token. All tokens up
	// to it have been delivered exactly once.
	Last uint64
	// Generated has the text of the tokens up to Last.
	Generated []string
	// Complete is true once the end marker was received.
	Complete     bool
	FinishReason string
}

// Accept validates one token and records it if it is to be delivered. The end
// marker is numbered as well: a stream of n tokens ends with sequence n+1, so
// that the loss of the last token is detected too.
func Accept(state *State, token mulberrybeam.Token) Verdict {
	switch {
	case token.Request != state.Request:
		return OtherRequest
	case state.Complete:
		return Duplicate
	case token.Sequence > state.Last+1:
		return Gap
	case token.Sequence <= state.Last && token.End:
		// An end before the last delivered token contradicts that token.
		return Gap
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
