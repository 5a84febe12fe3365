package losses_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/cmd/mulberryload/losses"
)

const dayReport = `{"G": 0.7, "breaks": {}, "all": {"n": 110, "refused": 5, "failed": 10, "not_owed": 10, "worth": 0.8},
 "parts": [["whole day", 0.6, 0.8], ["worst zone", 0.4, 0.7]],
 "prices": [["calls", 900.0, 0.05], ["orders", 3.0, 0.001], ["exits", 0.0, 0.0]]}`

func writeReport(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func runLosses(plot bool, paths ...string) (string, error) {
	var out bytes.Buffer
	command := losses.Command{Reports: paths, Plot: plot}
	err := command.Run(&out)
	return out.String(), err
}

// Guards against losses that do not add up to the total loss of the day. The
// causes with the largest losses decide what is improved next.
func TestTable(t *testing.T) {
	is := is.New(t)
	broken := strings.Replace(dayReport, `"breaks": {}`, `"breaks": {"DRAIN": 2}`, 1)
	text, err := runLosses(false, writeReport(t, "quiet.json", dayReport), writeReport(t, "busy.json", broken))
	is.NoErr(err)
	want := `| cause | quiet | busy |
| --- | --- | --- |
| failed | 0.100 | 0.100 |
| calls | 0.050 | 0.050 |
| late | 0.050 | 0.050 |
| refused | 0.050 | 0.050 |
| uneven | 0.040 | 0.040 |
| other prices | 0.001 | 0.001 |
| worth | 0.700 | 0.700, rules violated |
`
	is.Equal(text, want)
}

// Guards against bars whose length does not match the losses.
func TestPlot(t *testing.T) {
	is := is.New(t)
	text, err := runLosses(true, writeReport(t, "quiet.json", dayReport))
	is.NoErr(err)
	is.True(strings.HasPrefix(text, "quiet, worth 0.700\n"))
	is.True(strings.Contains(text, "failed       ########## 0.100\n"))
	is.True(!strings.Contains(text, "other prices"))
}

// Guards against files that are not reports and would count as days without
// losses.
func TestFaultyReports(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "{}", `{"G": 1, "all": {"n": 3}, "parts": [["whole", 1]]}`, `{"G": 1, "all": {"n": 3}, "parts": [[1, 1, 1]]}`} {
		_, err := runLosses(false, writeReport(t, "faulty.json", text), writeReport(t, "sound.json", dayReport))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "faulty"))
	}
}
