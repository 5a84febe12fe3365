package decoder_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/version/decoder"
)

type settings struct {
	Name       string
	TTL        time.Duration
	MaxPeers   int
	Rate       float64
	Zones      []zone
	EntryPorts []uint16
}

type zone struct{ Name string }

// Guards against member names that differ from the documented ones.
func TestKebabCaseOfFieldNames(t *testing.T) {
	is := is.New(t)
	for name, want := range map[string]string{
		"Name": "name", "MaxTokens": "max-tokens", "ID": "id", "TTL": "ttl",
		"KeyHashes": "key-hashes", "HTTPAddress": "http-address", "StoreID": "store-id",
	} {
		is.Equal(decoder.Kebab(name), want)
	}
}

// Guards against defaults that are lost when a document omits a field.
func TestDecodeKeepsDefaultsAndAcceptsComments(t *testing.T) {
	is := is.New(t)
	document, err := decoder.Decode([]byte(`{
		// The zone's name.
		"name": "a", "ttl": "2s", "zones": [{"name": "z"},], "entry-ports": [80],
	}`), settings{MaxPeers: 7})
	is.NoErr(err)
	is.Equal(document.Value, settings{
		Name: "a", TTL: 2 * time.Second, MaxPeers: 7, Zones: []zone{{"z"}}, EntryPorts: []uint16{80},
	})
	is.Equal(document.Problem("zones[0].name", "x").Line, 3)
	is.Equal(document.Problem("zones[0].state", "x").Value, "missing")
}

// Guards against decoding that stops at the first problem or reports a wrong
// position.
func TestDecodeReportsAllProblemsWithPositions(t *testing.T) {
	is := is.New(t)
	_, err := decoder.Decode([]byte("{\n \"nme\": 1,\n \"ttl\": 5,\n \"max-peers\": 1.5,\n \"rate\": \"x\",\n"+
		" \"zones\": {},\n \"name\": \"a\",\n \"name\": \"b\",\n \"entry-ports\": [-1]}"), settings{})
	var problems decoder.Problems
	is.True(errors.As(err, &problems))
	lines := map[string]int{}
	for _, problem := range problems {
		lines[problem.Path] = problem.Line
		is.True(problem.Allowed != "")
	}
	is.Equal(lines, map[string]int{
		"nme": 2, "ttl": 3, "max-peers": 4, "rate": 5, "zones": 6, "name": 8, "entry-ports[0]": 9,
	})
	is.Equal(problems[1].Column, 9)
}

// Guards against panics, and against documents that are accepted without being
// read.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "zones": [{"name": "z"}]}`))
	f.Add([]byte(`[{]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := decoder.Decode(data, settings{})
		if err == nil && document.Positions[""].Line == 0 {
			t.Fatal("accepted a document without recording its position")
		}
	})
}
