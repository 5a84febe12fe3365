package enginecaller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"mulberrybeam"
	"mulberrybeam/connection/encoder"
)

// blockBytes is the size of a context block in bytes of the rendered prompt.
const blockBytes = 1024

// extensionFields are the fields that the entry process sets. Fields of the
// caller with these names are dropped, regardless of case: a decoder that
// ignores case would let a caller replace the cache salt.
var extensionFields = []string{"stream", "priority", "context"}

var errNotObject = errors.New("chat body is not a JSON object")

// RequestBody returns the body to send to the engine for a call: the fields of the
// caller's chat body, byte for byte, followed by the extension fields.
func RequestBody(call mulberrybeam.EngineCall) ([]byte, error) {
	var body bytes.Buffer
	body.WriteByte('{')
	if err := copyFields(&body, call.Request.Body); err != nil {
		return nil, err
	}
	added, err := json.Marshal(struct {
		Stream   bool            `json:"stream"`
		Priority int             `json:"priority"`
		Context  encoder.Context `json:"context"`
	}{
		Stream:   true,
		Priority: int(call.Priority),
		Context: encoder.Context{
			Salt:       requestSalt(call.Request),
			Keys:       encoder.FormatKeys(call.Request.Keys),
			BlockBytes: blockBytes,
			Version:    string(call.Request.Version),
			Generated:  call.Generated,
		},
	})
	if err != nil {
		return nil, err
	}
	body.Write(added[1:])
	return body.Bytes(), nil
}

// copyFields copies the fields of a JSON object, each followed by a comma, and
// leaves out the extension fields.
func copyFields(out *bytes.Buffer, raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return errNotObject
	}
	for decoder.More() {
		start := decoder.InputOffset()
		token, err := decoder.Token()
		if err != nil {
			return fmt.Errorf("%w: %w", errNotObject, err)
		}
		rawName := bytes.TrimLeft(raw[start:decoder.InputOffset()], ", \t\r\n")
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return fmt.Errorf("%w: %w", errNotObject, err)
		}
		if name, _ := token.(string); isExtensionField(name) {
			continue
		}
		out.Write(rawName)
		out.WriteByte(':')
		out.Write(value)
		out.WriteByte(',')
	}
	if _, err := decoder.Token(); err != nil {
		return fmt.Errorf("%w: %w", errNotObject, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("%w: unexpected data after the object", errNotObject)
	}
	return nil
}

func isExtensionField(name string) bool {
	for _, extension := range extensionFields {
		if strings.EqualFold(name, extension) {
			return true
		}
	}
	return false
}

// requestSalt returns the cache salt of a request. A prompt shorter than a
// block has no keys, so its salt is a hash of the scope that the keys depend on.
func requestSalt(request *mulberrybeam.Request) string {
	if len(request.Keys) > 0 {
		return contextSalt(request.Keys)
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %q",
		request.Environment, request.Workspace, request.Model, request.Version))
	return hex.EncodeToString(sum[:16])
}

// contextSalt returns the cache salt of the context with these keys. It is the
// first key, which already depends on environment, workspace, model and weight
// version.
func contextSalt(keys []mulberrybeam.BlockKey) string {
	if len(keys) == 0 {
		return ""
	}
	return encoder.FormatKey(keys[0])
}
