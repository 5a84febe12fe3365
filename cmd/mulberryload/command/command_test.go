package command_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/command"
)

// Guards against wrong exit codes and output on the wrong stream.
func TestMain(t *testing.T) {
	tests := map[string]struct {
		args   []string
		code   int
		stdout string
		stderr string
	}{
		"help":            {[]string{"--help"}, 0, "Usage: mulberryload", ""},
		"no command":      {nil, 2, "", "expected one of"},
		"unknown flag":    {[]string{"serve", "engine", "--warm"}, 2, "", "unknown flag"},
		"missing file":    {[]string{"run", "does-not-exist.json"}, 1, "", "no such file"},
		"engine":          {[]string{"serve", "engine", "--model", "m=v1", "--cold"}, 0, "127.0.0.1:", ""},
		"store":           {[]string{"serve", "store", "--link-rate", "1000"}, 0, "127.0.0.1:", ""},
		"service":         {[]string{"serve", "service", "--call-time", "5ms"}, 0, "127.0.0.1:", ""},
		"platform":        {[]string{"serve", "platform", "--faults", `{"Down":true}`}, 0, "127.0.0.1:", ""},
		"invalid faults":  {[]string{"serve", "platform", "--faults", `{`}, 1, "", "--faults"},
		"invalid address": {[]string{"serve", "store", "--address", "127.0.0.1:x"}, 1, "", "listen on"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // fakes stop immediately after their start
			var stdout, stderr bytes.Buffer
			is.Equal(command.Main(ctx, test.args, &stdout, &stderr), test.code)
			is.True(strings.Contains(stdout.String(), test.stdout))
			is.True(strings.Contains(stderr.String(), test.stderr))
			is.Equal(stderr.Len() == 0, test.stderr == "")
			if strings.HasPrefix(test.stdout, "127.") {
				_, err := net.ResolveTCPAddr("tcp", strings.TrimSpace(stdout.String()))
				is.NoErr(err)
			}
		})
	}
}
