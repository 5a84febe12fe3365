package serve_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/serve"
)

// Guards against flags that are not passed to the fake.
func TestFlags(t *testing.T) {
	tests := map[string]struct {
		args  []string
		check func(flags any) bool
	}{
		"engine": {
			[]string{"engine", "--address", "127.0.0.1:7", "--model", "a=1", "--model", "b=2", "--restart-after", "3s", "--check-fencing"},
			func(flags any) bool {
				e, ok := flags.(serve.Engine)
				return ok && e.Address == "127.0.0.1:7" && e.Model["a"] == "1" && e.Model["b"] == "2" &&
					e.RestartAfter == 3*time.Second && e.CheckFencing && e.PrefillRate == 20000
			},
		},
		"store": {
			[]string{"store", "--memory-bytes", "5"},
			func(flags any) bool { s, ok := flags.(serve.Store); return ok && s.MemoryBytes == 5 },
		},
		"service": {
			[]string{"service", "--max-running", "3"},
			func(flags any) bool { s, ok := flags.(serve.Service); return ok && s.MaxRunning == 3 },
		},
		"platform": {
			[]string{"platform", "--write-rate", "7"},
			func(flags any) bool {
				p, ok := flags.(serve.Platform)
				return ok && p.WriteRate == 7 && p.ReadRate == 2000
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got any
			command := serve.New(func(_ context.Context, flags any, _ io.Writer) error {
				got = flags
				return nil
			})
			parser, err := kong.New(&command)
			is.NoErr(err)
			selected, err := parser.Parse(test.args)
			is.NoErr(err)
			selected.BindTo(t.Context(), (*context.Context)(nil))
			selected.BindTo(io.Discard, (*io.Writer)(nil))
			is.NoErr(selected.Run())
			is.True(test.check(got))
		})
	}
}
