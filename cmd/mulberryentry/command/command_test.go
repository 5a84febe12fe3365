package command_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberryentry/command"
)

const validSettings = `
node = "front-a-1"
zone = "a"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
`

// Guards against a process that starts with invalid flags or settings, or exits
// with the wrong code.
func TestRun(t *testing.T) {
	validFile, invalidFile := filepath.Join(t.TempDir(), "whole.toml"), filepath.Join(t.TempDir(), "faulty.toml")
	for path, text := range map[string]string{validFile: validSettings, invalidFile: strings.Replace(validSettings, "zone", "zona", 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		name      string
		arguments []string
		code      int
		runs      bool
		stdout    string
		stderr    string
	}{
		{"runs", []string{"--settings", validFile, "--metrics-port", "9464"}, command.ExitOK, true, "", ""},
		{"checks", []string{"--settings", validFile, "--check"}, command.ExitOK, false, "is valid", ""},
		{"no settings file", nil, command.ExitFailure, false, "", "MULBERRYBEAM_CONFIG"},
		{"missing file", []string{"--settings", validFile + ".old"}, command.ExitFailure, false, "", "no such file"},
		{"invalid settings", []string{"--settings", invalidFile}, command.ExitFailure, false, "", `field "zone" is missing`},
		{"unknown flag", []string{"--nothing"}, command.ExitUsage, false, "", "--help"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("MULBERRYBEAM_CONFIG", "")
			var stdout, stderr bytes.Buffer
			ran := false
			code := command.Run(c.arguments, &stdout, &stderr, func(options command.Options, settings mulberrybeam.HostSettings, _ io.Writer) error {
				ran = true
				is.Equal(settings.Zone, mulberrybeam.ZoneName("a"))
				is.Equal(options.MetricsPort, 9464)
				return nil
			})
			is.Equal(code, c.code)
			is.Equal(ran, c.runs)
			is.True(strings.Contains(stdout.String(), c.stdout))
			is.True(strings.Contains(stderr.String(), c.stderr))
		})
	}
}
