package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/process/standin/platform"
)

func setUp(t *testing.T, options ...platform.Option) (*platform.Platform, string) {
	t.Helper()
	fake, closeFake, err := platform.New(options...)
	is.New(t).NoErr(err)
	t.Cleanup(closeFake)
	return fake, "http://" + fake.Address() + "/apis/mulberrybeam.io/v1/namespaces/prod/slots"
}

func send(t *testing.T, method, url, body string) (int, string, http.Header) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, strings.TrimSpace(string(answer)), response.Header
}

func object(name, version string) string {
	return fmt.Sprintf(`{"apiVersion":"mulberrybeam.io/v1","kind":"Slot","metadata":{"name":%q,"namespace":"prod","resourceVersion":%q},"data":"YQ=="}`, name, version)
}

// Guards against responses that differ from the published object API.
func TestPublishedObjectAPI(t *testing.T) {
	_, base := setUp(t)
	status := func(reason string, code int) string {
		return fmt.Sprintf(`"reason":"%s"`, reason) + "…" + fmt.Sprintf(`"code":%d`, code)
	}
	steps := []struct {
		name, method, path, body string
		code                     int
		want                     string
	}{
		{"create", "POST", "", object("a", ""), 201, object("a", "1")},
		{"create again", "POST", "", object("a", ""), 409, status("AlreadyExists", 409)},
		{"update", "PUT", "/a", object("a", "1"), 200, object("a", "2")},
		{"update old version", "PUT", "/a", object("a", "1"), 409, status("Conflict", 409)},
		{"update missing object", "PUT", "/b", object("b", "1"), 404, status("NotFound", 404)},
		{"get", "GET", "/a", "", 200, object("a", "2")},
		{"list", "GET", "", "", 200, `"resourceVersion":"2"}` + "…" + `"items":[` + object("a", "2") + `]`},
		{"delete old version", "DELETE", "/a", `{"preconditions":{"resourceVersion":"1"}}`, 409, status("Conflict", 409)},
		{"delete", "DELETE", "/a", `{"preconditions":{"resourceVersion":"2"}}`, 200, `"status":"Success"`},
		{"get missing object", "GET", "/a", "", 404, status("NotFound", 404)},
		{"invalid body", "POST", "", `{`, 400, status("BadRequest", 400)},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			code, answer, _ := send(t, step.method, base+step.path, step.body)
			is.Equal(code, step.code)
			for _, part := range strings.Split(step.want, "…") {
				is.True(strings.Contains(answer, part))
			}
		})
	}
}

// Guards against a rate limit that is not shared by all callers, and against a
// peak that leaves out refused calls.
func TestRateLimitIsShared(t *testing.T) {
	is := is.New(t)
	fake, base := setUp(t, platform.WithRates(0, 2))
	var limited http.Header
	for n := range 4 {
		code, _, header := send(t, "POST", base, object(fmt.Sprint("o", n), ""))
		if code == http.StatusTooManyRequests {
			limited = header
		}
	}
	is.Equal(limited.Get("Retry-After"), "1")
	is.True(fake.Count("limited") >= 1)
	_, writes := fake.Peak()
	is.Equal(writes, 4)
	code, _, _ := send(t, "GET", base, "") // reads have a separate rate limit
	is.Equal(code, http.StatusOK)
}

// Guards against a watch that silently skips changes that are no longer in the
// history.
func TestWatchFromCompactedVersionExpires(t *testing.T) {
	is := is.New(t)
	fake, base := setUp(t, platform.WithHistory(2))
	for n := range 4 {
		send(t, "POST", base, object(fmt.Sprint("o", n), ""))
	}
	code, answer, _ := send(t, "GET", base+"?watch=1&resourceVersion=1", "")
	is.Equal(code, http.StatusGone)
	is.True(strings.Contains(answer, `"reason":"Expired"`))

	response, err := http.Get(base + "?watch=1&resourceVersion=2")
	is.NoErr(err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for _, name := range []string{"o2", "o3"} {
		is.True(lines.Scan())
		is.True(strings.HasPrefix(lines.Text(), `{"type":"ADDED"`) && strings.Contains(lines.Text(), name))
	}
	fake.Compact()
	send(t, "DELETE", base+"/o0", "")
	is.True(lines.Scan())
	is.True(strings.HasPrefix(lines.Text(), `{"type":"DELETED"`))
}
