package planner

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the body of a chat completion request.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// AnswerFunc predicts the tokens of the whole answer to a chat body, so that later
// turns of a conversation can be generated without waiting for earlier answers.
type AnswerFunc func(body []byte, tokens int) ([]string, error)

// Body returns the chat body for one turn of a conversation, including all
// earlier turns and their answers.
func Body(plan Plan, model string, tokens, conversation, turn int, answer AnswerFunc) ([]byte, error) {
	chat := Chat{Model: model, MaxTokens: tokens, Stream: true}
	for n := 1; ; n++ {
		size := plan.GrowthBytes
		if n == 1 {
			size = plan.FirstBytes
		}
		chat.Messages = append(chat.Messages, Message{"user", fillerText(plan.Seed, conversation, n, size)})
		body, err := json.Marshal(chat)
		if err != nil || n == turn {
			return body, err
		}
		tokenTexts, err := answer(body, tokens)
		if err != nil {
			return nil, err
		}
		chat.Messages = append(chat.Messages, Message{"assistant", strings.Join(tokenTexts, "")})
	}
}

// fillerText returns filler text of the given size that is different for each
// conversation and turn.
func fillerText(seed uint64, conversation, turn, size int) string {
	random := rand.New(rand.NewPCG(seed, uint64(conversation)<<16|uint64(turn)))
	var content strings.Builder
	for content.Len() < size {
		fmt.Fprintf(&content, "%08x ", random.Uint32())
	}
	return content.String()[:size]
}
