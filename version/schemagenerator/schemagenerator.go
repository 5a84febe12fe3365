// Package schemagenerator generates JSON schemas of configuration documents for editors.
package schemagenerator

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"

	"mulberrybeam/version/decoder"
)

// Schema returns the JSON schema of a document that decodes into T.
func Schema[T any]() ([]byte, error) {
	reflector := jsonschema.Reflector{
		Anonymous:                  true,
		DoNotReference:             true,
		KeyNamer:                   decoder.Kebab,
		RequiredFromJSONSchemaTags: true,
		Mapper:                     durationSchema,
	}
	var value T
	return json.MarshalIndent(reflector.Reflect(value), "", "  ")
}

func durationSchema(goType reflect.Type) *jsonschema.Schema {
	if goType != reflect.TypeFor[time.Duration]() {
		return nil
	}
	return &jsonschema.Schema{
		Type:        "string",
		Pattern:     `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`,
		Description: `A duration such as "250ms", "30s" or "24h".`,
	}
}
