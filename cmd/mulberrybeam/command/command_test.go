package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/cmd/mulberrybeam/command"
	"mulberrybeam/cmd/mulberrybeam/command/environment/validate"
	"mulberrybeam/cmd/mulberrybeam/factory/factorytest"
	"mulberrybeam/process/operator"
	"mulberrybeam/version/parser"
)

// document returns a valid configuration document unless the revision is invalid.
func document(name string, revision string) string {
	return `{
 // Kept comment.
 "name": "` + name + `", "revision": ` + revision + `,
 "regions": [{"name": "r", "zones": [{"name": "a"}, {"name": "b"}]}],
 "models": [{"name": "summary", "version": "v1"}],
}`
}

type objectsByEnvironment map[mulberrybeam.EnvironmentName]*factorytest.Objects

// newObjects returns object APIs that hold the given documents.
func newObjects(documents ...string) objectsByEnvironment {
	objects := objectsByEnvironment{"trial": {}, "production": {}}
	for _, text := range documents {
		environment, err := parser.Parse([]byte(text))
		if err != nil {
			panic(err)
		}
		objects[environment.Name].Put(mulberrybeam.Object{
			Kind: mulberrybeam.ObjectEnvironment, Name: string(environment.Name), Data: []byte(text),
		})
	}
	return objects
}

// revision returns the revision in force, or 0 if the environment has no document.
func (o objectsByEnvironment) revision(t *testing.T, name mulberrybeam.EnvironmentName) mulberrybeam.Revision {
	t.Helper()
	object, err := o[name].Get(t.Context(), mulberrybeam.ObjectEnvironment, string(name))
	if err != nil {
		return 0
	}
	environment, err := parser.Parse(object.Data)
	if err != nil {
		t.Fatal(err)
	}
	return environment.Revision
}

// Each command must return the right exit code, write nothing if it is refused, and
// not overwrite an edit that another operator made since the expected revision.
func TestDocumentCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trial.jsonc")
	cases := map[string]struct {
		file      string
		objects   objectsByEnvironment
		arguments string
		code      int
		stdout    string
		revision  mulberrybeam.Revision
	}{
		"validate":                       {document("trial", "1"), newObjects(), "environment validate FILE", 0, "is valid", 0},
		"validate an invalid document":   {document("trial", "-1"), newObjects(), "environment validate FILE", 1, "", 0},
		"first apply":                    {document("trial", "1"), newObjects(), "environment apply FILE --yes", 0, "revision 1", 1},
		"apply":                          {document("trial", "4"), newObjects(document("trial", "4")), "environment apply FILE --yes", 0, "revision 5", 5},
		"apply to an older revision":     {document("trial", "3"), newObjects(document("trial", "4")), "environment apply FILE --yes", 3, "", 4},
		"apply without confirmation":     {document("trial", "4"), newObjects(document("trial", "4")), "environment apply FILE", 1, "", 4},
		"take out":                       {"", newObjects(document("trial", "4")), "zone take-out trial b --yes", 0, `"out" in revision 5`, 5},
		"take out an unknown zone":       {"", newObjects(document("trial", "4")), "zone take-out trial c --yes", 1, "", 4},
		"get":                            {"", newObjects(document("trial", "4")), "environment get trial", 0, "Kept comment", 4},
		"unknown flag":                   {"", newObjects(), "zone list --nope", 2, "", 0},
		"help":                           {"", newObjects(), "zone --help", 0, "bring-back", 0},
		"unknown environment":            {"", newObjects(), "environment get trial", 1, "", 0},
		"promote":                        {"", newObjects(document("trial", "7"), document("production", "2")), "environment promote trial production --revision 7 --onto-revision 2 --yes", 0, "revision 3 of production", 7},
		"promote an older revision":      {"", newObjects(document("trial", "8"), document("production", "2")), "environment promote trial production --revision 7 --onto-revision 2 --yes", 3, "", 8},
		"promote onto an older revision": {"", newObjects(document("trial", "7"), document("production", "3")), "environment promote trial production --revision 7 --onto-revision 2 --yes", 3, "", 7},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(file, []byte(test.file), 0o600))
			f, stdout, stderr := factorytest.New(test.objects)
			arguments := strings.Fields(strings.ReplaceAll(test.arguments, "FILE", file))
			code := command.Run(f, arguments)
			is.Equal(code, test.code) // on a mismatch, see the command's error output
			is.True(strings.Contains(stdout.String(), test.stdout))
			is.True((code != 0) == (stderr.Len() > 0))
			is.Equal(test.objects.revision(t, "trial"), test.revision)
		})
	}
}

// An edit that took effect although its response was lost must be reported as a
// success, and one that lost against a concurrent edit as a conflict.
func TestApplyAfterLostResponseAndConcurrentEdit(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "trial.jsonc")
	is.NoErr(os.WriteFile(file, []byte(document("trial", "4")), 0o600))

	lostResponse := newObjects(document("trial", "4"))
	lostResponse["trial"].LoseResponses = true
	f, _, _ := factorytest.New(lostResponse)
	is.Equal(command.Run(f, []string{"environment", "apply", file, "--yes"}), command.ExitOK)
	is.Equal(lostResponse.revision(t, "trial"), mulberrybeam.Revision(5))

	concurrent := newObjects(document("trial", "4"))
	concurrent["trial"].BeforeWrite = func(objects *factorytest.Objects, object mulberrybeam.Object) {
		objects.Put(mulberrybeam.Object{Kind: object.Kind, Name: object.Name, Data: []byte(document("trial", "6"))})
	}
	f, _, stderr := factorytest.New(concurrent)
	is.Equal(command.Run(f, []string{"environment", "apply", file, "--yes"}), command.ExitConflict)
	is.True(strings.Contains(stderr.String(), "revision 4") && strings.Contains(stderr.String(), "revision 6"))
	is.Equal(concurrent.revision(t, "trial"), mulberrybeam.Revision(6))
}

// The --wait flag must not report success while a live host has an older revision,
// and the error must name that host. Dead hosts do not count.
func TestApplyWaitNamesLaggingHosts(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "trial.jsonc")
	is.NoErr(os.WriteFile(file, []byte(document("trial", "4")), 0o600))
	status := operator.Status{Process: "h1/1", Revision: 5, Members: []operator.Member{
		{Process: "h1/1", State: mulberrybeam.MemberAlive, Revision: 5},
		{Process: "h2/1", State: mulberrybeam.MemberAlive, Revision: 4},
		{Process: "h3/1", State: mulberrybeam.MemberDead, Revision: 1},
	}}
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	defer entry.Close()
	arguments := []string{"environment", "apply", file, "--yes", "--wait", "--timeout", "50ms", "--entry", strings.TrimPrefix(entry.URL, "http://")}

	f, _, stderr := factorytest.New(newObjects(document("trial", "4")))
	is.Equal(command.Run(f, arguments), command.ExitFailure)
	is.True(strings.Contains(stderr.String(), "h2/1") && !strings.Contains(stderr.String(), "h3/1"))

	status.Members[1].Revision = 5
	f, stdout, _ := factorytest.New(newObjects(document("trial", "4")))
	is.Equal(command.Run(f, arguments), command.ExitOK)
	is.True(strings.Contains(stdout.String(), "2 live hosts"))
}

// A run function passed to New must be called with the options of the command.
func TestRunPassesOptionsToInjectedFunction(t *testing.T) {
	is := is.New(t)
	f, _, _ := factorytest.New(nil)
	var received *validate.Options
	options := validate.New(f, func(o *validate.Options) error {
		received = o
		return nil
	})
	options.File = "some-file"
	is.NoErr(options.Run())
	is.Equal(received.File, "some-file")
}
