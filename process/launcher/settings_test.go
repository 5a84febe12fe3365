package launcher_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/process/launcher"
	"mulberrybeam/version/decoder"
)

const settingsTemplate = `{
  "environment": "trial", "host": "h1", "zone": "a", "context-secret-file": "secret",
  "platform": {"url": "http://127.0.0.1:1"},
  "caller": {"address": "127.0.0.1:0"}, "peer": {"address": "127.0.0.1:0"}, "operator": {"address": "127.0.0.1:0"},
  "seeds": ["127.0.0.1:8444", SEED],
}`

// Guards against seeds that are not read, and against an invalid seed that is
// not reported with its line.
func TestSettingsSeeds(t *testing.T) {
	is := is.New(t)
	read, err := launcher.ParseSettings(withSeed(`"127.0.0.2:8444"`))
	is.NoErr(err)
	is.Equal(read.Seeds, []string{"127.0.0.1:8444", "127.0.0.2:8444"})
	_, err = launcher.ParseSettings(withSeed(`"a-name:8444"`))
	var problems decoder.Problems
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 1)
	is.Equal(problems[0].Line, 5)
	is.True(problems[0].Value != "missing")
	t.Log(err)
}

func withSeed(seed string) []byte {
	return bytes.Replace([]byte(settingsTemplate), []byte("SEED"), []byte(seed), 1)
}
