package schemagenerator_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/version/schemagenerator"
)

// Guards against a schema whose names differ from those that the parser
// accepts, or that allows unknown names.
func TestSchemaUsesDocumentNames(t *testing.T) {
	is := is.New(t)
	data, err := schemagenerator.Schema[mulberrybeam.Environment]()
	is.NoErr(err)
	var schema struct {
		Properties map[string]struct {
			Properties map[string]struct{ Type string }
		}
		AdditionalProperties *bool
	}
	is.NoErr(json.Unmarshal(data, &schema))
	is.Equal(schema.Properties["limits"].Properties["queue-timeout"].Type, "string")
	_, found := schema.Properties["engine-groups"]
	is.True(found)
	is.True(schema.AdditionalProperties != nil && !*schema.AdditionalProperties)
}
