package engine

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// chatBody contains the fields of a chat completion request that determine the
// answer.
type chatBody struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// PromptHash returns a hash of the model and the messages of a chat completion
// request. It ignores insignificant white space and all other fields.
func PromptHash(body []byte) (uint64, error) {
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return 0, fmt.Errorf("decode chat body: %w", err)
	}
	return chat.promptHash()
}

func (c chatBody) promptHash() (uint64, error) {
	var messages bytes.Buffer
	if err := json.Compact(&messages, c.Messages); err != nil {
		return 0, fmt.Errorf("compact messages: %w", err)
	}
	return xxhash.Sum64String(c.Model + "\x00" + messages.String()), nil
}

// TokenText returns the text of one token of the answer to a prompt, given the
// hash of the prompt.
func TokenText(prompt, sequence uint64) string {
	return fmt.Sprintf("t%08x ", uint32(xxhash.Sum64String(fmt.Sprint(prompt, "/", sequence))))
}

// ExpectedAnswer returns the expected tokens of the complete answer to a chat
// completion request.
func ExpectedAnswer(body []byte, tokens int) ([]string, error) {
	prompt, err := PromptHash(body)
	if err != nil {
		return nil, err
	}
	answer := make([]string, tokens)
	for i := range answer {
		answer[i] = TokenText(prompt, uint64(i+1))
	}
	return answer, nil
}

// BlockData returns the exported bytes of one block. They depend on its key and
// salt, so that an import can detect data of another context.
func BlockData(salt, key string, size int) []byte {
	data := make([]byte, 0, size+8)
	for i := 0; len(data) < size; i++ {
		data = fmt.Appendf(data, "%016x", xxhash.Sum64String(fmt.Sprint(salt, "/", key, "/", i)))
	}
	return data[:size]
}
