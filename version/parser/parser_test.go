package parser_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/version/decoder"
	"mulberrybeam/version/parser"
)

const valid = `{
 "name": "trial", "revision": 1,
 "regions": [{"name": "r", "zones": [{"name": "a"}]}],
 "models": [{"name": "summary", "version": "v1"}],
 "services": [{"name": "orders", "calls": [{"name": "place"}]}],
 "engine-groups": [{"name": "e", "zone": "a", "models": ["summary"], "targets": [{"id": "e1", "address": "10.0.0.1:80"}]}],
 "stores": [{"id": "s1", "zone": "a", "address": "10.0.0.2:80"}],
 "workspaces": [{"name": "w", "key-hashes": ["` + hash + `"]}]
}`

const hash = "0000000000000000000000000000000000000000000000000000000000000001"

// Guards against limits of 0 where a document sets none.
func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	environment, err := parser.Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(environment.Regions[0].Zones[0].Slots, 3)
	is.Equal(environment.EngineGroups[0].ColdLimit, 2)
	is.True(environment.Limits.QueueLength > 0)
	is.True(environment.Workspaces[0].MaxInFlight > 0)
}

// Guards against accepting invalid documents, and against problems reported at
// the wrong path.
func TestParseReportsProblemsWithPaths(t *testing.T) {
	cases := map[string]struct{ old, new, path string }{
		"bad environment name":   {`"trial"`, `"Trial!"`, "name"},
		"no revision":            {`"revision": 1`, `"revision": 0`, "revision"},
		"unknown zone state":     {`{"name": "a"}`, `{"name": "a", "state": "gone"}`, "regions[0].zones[0].state"},
		"zone named twice":       {`{"name": "a"}`, `{"name": "a"},{"name": "a"}`, "regions[0].zones[1].name"},
		"unknown model":          {`["summary"]`, `["other"]`, "engine-groups[0].models[0]"},
		"unknown zone":           {`"e", "zone": "a"`, `"e", "zone": "b"`, "engine-groups[0].zone"},
		"host name as address":   {`10.0.0.1:80`, `host:80`, "engine-groups[0].targets[0].address"},
		"store with a target id": {`"s1"`, `"e1"`, "stores[0].id"},
		"key hash too short":     {hash, "00", "workspaces[0].key-hashes[0]"},
		"negative weight":        {`"name": "w"`, `"name": "w", "weight": -1`, "workspaces[0].weight"},
		"short retention":        {`"name": "trial"`, `"name": "trial", "limits": {"idempotency-retention": "1s"}`, "limits.idempotency-retention"},
		"unknown name":           {`"revision": 1`, `"revision": 1, "revison": 2`, "revison"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			document := strings.Replace(valid, test.old, test.new, 1)
			is.True(document != valid)
			_, err := parser.Parse([]byte(document))
			var problems decoder.Problems
			is.True(errors.As(err, &problems))
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Path, test.path)
		})
	}
}

// Guards against example documents that the parser rejects.
func TestExampleEnvironmentsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*.jsonc")
	is.NoErr(err)
	is.True(len(files) >= 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		_, err = parser.Parse(data)
		is.NoErr(err)
	}
}
