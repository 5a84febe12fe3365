package assembler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/assembler"
)

func responseTokens(request mulberrybeam.RequestID, tokens int) []mulberrybeam.Token {
	stream := make([]mulberrybeam.Token, 0, tokens+1)
	for i := range tokens {
		stream = append(stream, mulberrybeam.Token{Request: request, Sequence: uint64(i + 1), Text: fmt.Sprintf("%s-%d ", request, i+1)})
	}
	return append(stream, mulberrybeam.Token{Request: request, Sequence: uint64(tokens + 1), End: true, FinishReason: "stop"})
}

// Guards against a faulty token that is accepted. Each case has one kind of
// fault.
func TestVerdictOfEachFault(t *testing.T) {
	stream := responseTokens("r", 3)
	cases := []struct {
		name  string
		given []mulberrybeam.Token
		want  assembler.Verdict
		last  uint64
	}{
		{"next token", stream[:1], assembler.Deliver, 1},
		{"duplicate token", []mulberrybeam.Token{stream[0], stream[0]}, assembler.Duplicate, 1},
		{"lost first token", stream[1:2], assembler.Gap, 0},
		{"lost last token", []mulberrybeam.Token{stream[0], stream[1], stream[3]}, assembler.Gap, 2},
		{"token of another request", []mulberrybeam.Token{stream[0], responseTokens("s", 3)[1]}, assembler.OtherRequest, 1},
		{"end of another request", []mulberrybeam.Token{stream[0], responseTokens("s", 1)[1]}, assembler.OtherRequest, 1},
		{"end before delivered tokens", []mulberrybeam.Token{stream[0], stream[1], responseTokens("r", 1)[1]}, assembler.Gap, 2},
		{"sequence 0", []mulberrybeam.Token{{Request: "r", Text: "x"}}, assembler.Duplicate, 0},
		{"end", stream, assembler.Finished, 4},
		{"token after the end", append(responseTokens("r", 1), stream[2]), assembler.Duplicate, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := assembler.State{Request: "r"}
			var verdict assembler.Verdict
			for _, token := range c.given {
				verdict = assembler.Accept(&state, token)
			}
			is.Equal(verdict, c.want)
			is.Equal(state.Last, c.last)
		})
	}
}

// Guards against a response that is delivered with a gap, a duplicate or a
// token of another request, or that counts as complete without its end marker,
// for any sequence of connection faults.
func TestDeliveredTokensAreAPrefixOfTheResponse(t *testing.T) {
	faultCounts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sent := responseTokens("r", rapid.IntRange(0, 12).Draw(t, "tokens"))
		foreign := responseTokens("s", 12)
		state := assembler.State{Request: "r"}
		delivered := []mulberrybeam.Token{}
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			position := int(state.Last)
			for interrupted := false; !interrupted && position < len(sent); position++ {
				fault := rapid.SampledFrom([]string{"none", "none", "none", "lost", "doubled", "crossed", "cut"}).Draw(t, "fault")
				faultCounts[fault]++
				received := []mulberrybeam.Token{sent[position]}
				switch fault {
				case "lost":
					continue
				case "doubled":
					received = append(received, sent[position])
				case "crossed":
					received = append([]mulberrybeam.Token{foreign[position]}, received...)
				case "cut":
					interrupted = true
					continue
				}
				for _, token := range received {
					switch assembler.Accept(&state, token) {
					case assembler.Deliver, assembler.Finished:
						delivered = append(delivered, token)
					case assembler.OtherRequest:
						if token.Request == "r" {
							t.Fatalf("own token %d rejected", token.Sequence)
						}
					case assembler.Gap:
						interrupted = true
					}
				}
			}
		}
		for i, token := range delivered {
			if token != sent[i] {
				t.Fatalf("delivered %v at position %d, sent %v", token, i, sent[i])
			}
		}
		if state.Complete != (len(delivered) == len(sent)) {
			t.Fatalf("complete is %v after %d of %d tokens", state.Complete, len(delivered), len(sent))
		}
		text := ""
		for _, token := range delivered {
			text += token.Text
		}
		if assembler.Text(state) != text || int(state.Last) != len(delivered) {
			t.Fatalf("position %d with text %q after %d tokens", state.Last, assembler.Text(state), len(delivered))
		}
	})
	for _, fault := range []string{"lost", "doubled", "crossed", "cut"} {
		if faultCounts[fault] == 0 {
			t.Errorf("fault %q never occurred", fault)
		}
	}
}
