package planner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the body of a prompt.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Answerer returns the text of the whole answer to a chat body, so that a
// returning prompt can be laid out before its earlier answer arrives.
type Answerer func(body []byte, tokens int) ([]string, error)

// Body returns the chat body of a turn of a conversation, which contains the
// earlier turns and their answers.
func Body(plan Plan, model string, tokens, conversation, turn int, answer Answerer) ([]byte, error) {
	chat := Chat{Model: model, MaxTokens: tokens, Stream: true}
	for n := 1; ; n++ {
		size := plan.GrowthBytes
		if n == 1 {
			size = plan.FirstBytes
		}
		chat.Messages = append(chat.Messages, Message{"user", text(plan.Seed, conversation, n, size)})
		body, err := json.Marshal(chat)
		if err != nil || n == turn {
			return body, err
		}
		earlier, err := answer(body, tokens)
		if err != nil {
			return nil, err
		}
		chat.Messages = append(chat.Messages, Message{"assistant", strings.Join(earlier, "")})
	}
}

// text returns filler that differs between conversations and turns.
func text(seed uint64, conversation, turn, size int) string {
	random := rand.New(rand.NewPCG(seed, uint64(conversation)<<16|uint64(turn)))
	var content strings.Builder
	for content.Len() < size {
		fmt.Fprintf(&content, "%08x ", random.Uint32())
	}
	return content.String()[:size]
}
