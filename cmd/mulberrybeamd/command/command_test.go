package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mulberrybeam/cmd/mulberrybeamd/command"
	"mulberrybeam/process/launcher"
)

const validSettings = `{
 // An entry host.
 "environment": "trial", "host": "h1", "zone": "a",
 "platform": {"url": "http://10.0.0.1:6443"},
 "caller": {"address": "10.0.0.2:8080"}, "peer": {"address": "10.0.0.2:8081"}, "operator": {"address": "127.0.0.1:8082"},
 "context-secret-file": "secret",
}`

// Guards against invalid settings that are accepted, and against a process that
// starts although --check is set.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	cases := map[string]struct {
		settings  string
		arguments []string
		code      int
		ran       bool
		stderr    string
	}{
		"runs":                    {validSettings, []string{"--settings", file}, 0, true, ""},
		"checks only":             {validSettings, []string{"--settings", file, "--check"}, 0, false, ""},
		"unknown field":           {strings.Replace(validSettings, `"host"`, `"hots"`, 1), []string{"--settings", file}, 1, false, "hots"},
		"bad address":             {strings.Replace(validSettings, "10.0.0.2:8081", "peer:8081", 1), []string{"--settings", file}, 1, false, "peer.address"},
		"key without certificate": {strings.Replace(validSettings, `"10.0.0.2:8080"`, `"10.0.0.2:8080", "key-file": "k"`, 1), []string{"--settings", file}, 1, false, "caller.key-file"},
		"no settings flag":        {validSettings, nil, 2, false, "--settings"},
		"help":                    {validSettings, []string{"--help"}, 0, false, ""},
		"no settings file":        {validSettings, []string{"--settings", file + ".none"}, 1, false, "no such file"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(file, []byte(test.settings), 0o600))
			var stdout, stderr bytes.Buffer
			ran := false
			code := command.Run(t.Context(), test.arguments, &stdout, &stderr,
				func(_ context.Context, settings launcher.Settings, _ *logrus.Logger) error {
					ran = true
					is.Equal(string(settings.Zone), "a")
					is.True(settings.Shutdown.BalancerDelay > 0)
					return nil
				})
			is.Equal(code, test.code)
			is.Equal(ran, test.ran)
			is.True(strings.Contains(stderr.String(), test.stderr))
		})
	}
}
