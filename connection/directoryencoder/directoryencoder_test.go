package directoryencoder_test

import (
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/connection/directoryencoder"
)

// Guards against entries lost in encoding and against invalid directories that
// decode without an error.
func TestDirectory(t *testing.T) {
	is := is.New(t)
	members := []mulberrybeam.Member{{ID: "a/1", Address: "10.0.0.1:7"}, {ID: "b/2", Address: "10.0.0.2:7"}}
	decoded, err := directoryencoder.Decode(directoryencoder.Encode(members))
	is.NoErr(err)
	is.Equal(decoded, members)
	for _, invalid := range []string{"", "[]", `{"members": [{"id": "a/1"}]}`, `{"members": 3}`} {
		_, err := directoryencoder.Decode([]byte(invalid))
		is.True(err != nil)
	}
}
