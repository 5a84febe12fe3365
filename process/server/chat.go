package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"mulberrybeam"
)

// chatBody holds the fields of an OpenAI chat completion request that the entry
// process reads. The engine receives the original body with all fields.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// MaxTokens limits the length of the answer. Priority is an extension of
	// the OpenAI API; 0 is the most urgent.
	MaxTokens *int `json:"max_tokens"`
	Priority  int  `json:"priority"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat parses and validates the body of a chat completion request.
func parseChat(body []byte) (chatBody, error) {
	var chat chatBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&chat); err != nil {
		return chat, fmt.Errorf("body is not a chat completion request: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return chat, errors.New("body has data after the JSON object")
	}
	if err := checkFieldNames(body); err != nil {
		return chat, err
	}
	switch {
	case chat.Model == "":
		return chat, errors.New(`"model" is missing`)
	case len(chat.Messages) == 0:
		return chat, errors.New(`"messages" is empty`)
	case chat.MaxTokens != nil && *chat.MaxTokens < 1:
		return chat, fmt.Errorf(`"max_tokens" is %d, but must be at least 1`, *chat.MaxTokens)
	case chat.Priority < int(mulberrybeam.PriorityInteractive) || chat.Priority > int(mulberrybeam.PriorityBatch):
		return chat, fmt.Errorf(`"priority" is %d, but must be 0 or 1`, chat.Priority)
	}
	for i, message := range chat.Messages {
		if message.Role == "" {
			return chat, fmt.Errorf(`"messages[%d].role" is missing`, i)
		}
	}
	return chat, nil
}

// renderPrompt returns the text of a prompt from which the keys of its context
// blocks are derived. It concatenates the messages in order, so that a prompt with
// additional messages starts with the same bytes.
func renderPrompt(chat chatBody) []byte {
	var prompt strings.Builder
	for _, message := range chat.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		var text string
		if json.Unmarshal(message.Content, &text) == nil {
			prompt.WriteString(text)
		} else {
			prompt.Write(message.Content)
		}
		prompt.WriteByte('\n')
	}
	return []byte(prompt.String())
}

// checkFieldNames rejects field names that are repeated or differ only in case.
// One decoder would use the first such field and another the last, so that the
// engine could run a different prompt from the one whose keys were derived.
func checkFieldNames(body []byte) error {
	var fields fieldNames
	if err := json.Unmarshal(body, &fields); err != nil {
		return fmt.Errorf("body is not a chat completion request: %w", err)
	}
	seen := map[string]bool{}
	for _, name := range fields {
		lower := strings.ToLower(name)
		if seen[lower] {
			return fmt.Errorf("field %q is repeated", name)
		}
		seen[lower] = true
	}
	return nil
}

// fieldNames holds the field names of a JSON object in order, including repeated
// ones.
type fieldNames []string

// UnmarshalJSON collects the field names of the top-level object.
func (n *fieldNames) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, isString := token.(string)
		if !isString {
			return fmt.Errorf("found %T in place of a field name; the body must be a JSON object", token)
		}
		*n = append(*n, name)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return err
		}
	}
	return nil
}
