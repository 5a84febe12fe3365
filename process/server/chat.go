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

// chatBody is the part of an OpenAI chat completion that the entry process
// reads. The engine gets the rest as it came.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// MaxTokens bounds the answer. Priority is an extension, 0 is the most
	// urgent.
	MaxTokens *int `json:"max_tokens"`
	Priority  int  `json:"priority"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat reads and checks a chat body.
func parseChat(body []byte) (chatBody, error) {
	var chat chatBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&chat); err != nil {
		return chat, fmt.Errorf("body is no chat completion: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return chat, errors.New("body has data after the JSON object")
	}
	if err := checkNames(body); err != nil {
		return chat, err
	}
	switch {
	case chat.Model == "":
		return chat, errors.New(`"model" is missing`)
	case len(chat.Messages) == 0:
		return chat, errors.New(`"messages" is empty`)
	case chat.MaxTokens != nil && *chat.MaxTokens < 1:
		return chat, fmt.Errorf(`"max_tokens" is %d, at least 1 is needed`, *chat.MaxTokens)
	case chat.Priority < int(mulberrybeam.PriorityInteractive) || chat.Priority > int(mulberrybeam.PriorityBatch):
		return chat, fmt.Errorf(`"priority" is %d, 0 or 1 is allowed`, chat.Priority)
	}
	for i, message := range chat.Messages {
		if message.Role == "" {
			return chat, fmt.Errorf(`"messages[%d].role" is missing`, i)
		}
	}
	return chat, nil
}

// render returns the prompt whose blocks are keyed. Messages follow each other,
// so that a prompt with further messages begins with the same bytes.
func render(chat chatBody) []byte {
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

// checkNames refuses field names that differ only in case. One decoder would
// take the first such field and another the last, so that the keyed prompt and
// the prompt that the engine runs could differ.
func checkNames(body []byte) error {
	var fields orderedNames
	if err := json.Unmarshal(body, &fields); err != nil {
		return fmt.Errorf("body is no chat completion: %w", err)
	}
	seen := map[string]bool{}
	for _, name := range fields {
		lower := strings.ToLower(name)
		if seen[lower] {
			return fmt.Errorf("field %q occurs twice", name)
		}
		seen[lower] = true
	}
	return nil
}

// orderedNames are the field names of a JSON object, repeated ones included.
type orderedNames []string

// UnmarshalJSON collects the names of the outermost object.
func (n *orderedNames) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, isName := token.(string)
		if !isName {
			return fmt.Errorf("body is %T, an object is needed", token)
		}
		*n = append(*n, name)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return err
		}
	}
	return nil
}
