package fleet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mulberrybeam/process/standin/fleet"
)

// Guards against treating a stream that reports a failure like a stream that
// ended early without an error, which would lose the cause of the failure.
func TestFailedStreamReportsCause(t *testing.T) {
	is := is.New(t)
	stream := `data: {"choices":[{"delta":{"content":"one"}}]}` + "\n\n" +
		`data: {"error":{"code":"stream-broken","message":"no target is left"}}` + "\n\n"
	response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(stream))}

	answer, err := fleet.ReadAnswer(response, time.Now())

	is.NoErr(err)
	is.True(!answer.Complete)
	is.Equal(len(answer.Tokens), 1)
	err = answer.Check(fleet.PromptBody("a question", 2), 2)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "no target is left"))
}
