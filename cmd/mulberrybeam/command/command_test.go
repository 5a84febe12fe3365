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

func document(name string, revision string) string {
	return `{
 // Kept comment.
 "name": "` + name + `", "revision": ` + revision + `,
 "regions": [{"name": "r", "zones": [{"name": "a"}, {"name": "b"}]}],
 "models": [{"name": "summary", "version": "v1"}],
}`
}

type stage map[mulberrybeam.EnvironmentName]*factorytest.Objects

func newStage(documents ...string) stage {
	objects := stage{"trial": {}, "production": {}}
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

func (s stage) revision(t *testing.T, name mulberrybeam.EnvironmentName) mulberrybeam.Revision {
	t.Helper()
	object, err := s[name].Get(t.Context(), mulberrybeam.ObjectEnvironment, string(name))
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
func TestCommandsOnDocuments(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trial.jsonc")
	cases := map[string]struct {
		file      string
		objects   stage
		arguments string
		code      int
		out       string
		revision  mulberrybeam.Revision
	}{
		"validate":                       {document("trial", "1"), newStage(), "environment validate FILE", 0, "is valid", 0},
		"validate an invalid document":   {document("trial", "-1"), newStage(), "environment validate FILE", 1, "", 0},
		"first apply":                    {document("trial", "1"), newStage(), "environment apply FILE --yes", 0, "revision 1", 1},
		"apply":                          {document("trial", "4"), newStage(document("trial", "4")), "environment apply FILE --yes", 0, "revision 5", 5},
		"apply to an older revision":     {document("trial", "3"), newStage(document("trial", "4")), "environment apply FILE --yes", 3, "", 4},
		"apply without confirmation":     {document("trial", "4"), newStage(document("trial", "4")), "environment apply FILE", 1, "", 4},
		"take out":                       {"", newStage(document("trial", "4")), "zone take-out trial b --yes", 0, `"out" in revision 5`, 5},
		"take out an unknown zone":       {"", newStage(document("trial", "4")), "zone take-out trial c --yes", 1, "", 4},
		"get":                            {"", newStage(document("trial", "4")), "environment get trial", 0, "Kept comment", 4},
		"unknown flag":                   {"", newStage(), "zone list --nope", 2, "", 0},
		"help":                           {"", newStage(), "zone --help", 0, "bring-back", 0},
		"unknown environment":            {"", newStage(), "environment get trial", 1, "", 0},
		"promote":                        {"", newStage(document("trial", "7"), document("production", "2")), "environment promote trial production --revision 7 --onto-revision 2 --yes", 0, "revision 3 of production", 7},
		"promote an older revision":      {"", newStage(document("trial", "8"), document("production", "2")), "environment promote trial production --revision 7 --onto-revision 2 --yes", 3, "", 8},
		"promote onto an older revision": {"", newStage(document("trial", "7"), document("production", "3")), "environment promote trial production --revision 7 --onto-revision 2 --yes", 3, "", 7},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(file, []byte(test.file), 0o600))
			f, out, errors := factorytest.New(test.objects)
			arguments := strings.Fields(strings.ReplaceAll(test.arguments, "FILE", file))
			code := command.Run(f, arguments)
			is.Equal(code, test.code) // on a mismatch, see the command's error output
			is.True(strings.Contains(out.String(), test.out))
			is.True((code != 0) == (errors.Len() > 0))
			is.Equal(test.objects.revision(t, "trial"), test.revision)
		})
	}
}

// An edit that took effect although its response was lost must be reported as a
// success, and one that lost against a concurrent edit as a conflict.
func TestApplyWithALostAnswerAndWithARace(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "trial.jsonc")
	is.NoErr(os.WriteFile(file, []byte(document("trial", "4")), 0o600))

	lost := newStage(document("trial", "4"))
	lost["trial"].LoseAnswers = true
	f, _, _ := factorytest.New(lost)
	is.Equal(command.Run(f, []string{"environment", "apply", file, "--yes"}), command.ExitOK)
	is.Equal(lost.revision(t, "trial"), mulberrybeam.Revision(5))

	raced := newStage(document("trial", "4"))
	raced["trial"].Before = func(objects *factorytest.Objects, object mulberrybeam.Object) {
		objects.Put(mulberrybeam.Object{Kind: object.Kind, Name: object.Name, Data: []byte(document("trial", "6"))})
	}
	f, _, errors := factorytest.New(raced)
	is.Equal(command.Run(f, []string{"environment", "apply", file, "--yes"}), command.ExitConflict)
	is.True(strings.Contains(errors.String(), "revision 4") && strings.Contains(errors.String(), "revision 6"))
	is.Equal(raced.revision(t, "trial"), mulberrybeam.Revision(6))
}

// The --wait flag must not report success while a live host has an older revision,
// and the error must name that host. Dead hosts do not count.
func TestApplyWaitNamesHostsThatLag(t *testing.T) {
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

	f, _, errors := factorytest.New(newStage(document("trial", "4")))
	is.Equal(command.Run(f, arguments), command.ExitFailure)
	is.True(strings.Contains(errors.String(), "h2/1") && !strings.Contains(errors.String(), "h3/1"))

	status.Members[1].Revision = 5
	f, out, _ := factorytest.New(newStage(document("trial", "4")))
	is.Equal(command.Run(f, arguments), command.ExitOK)
	is.True(strings.Contains(out.String(), "2 live hosts"))
}

// A run function passed to New must be called with the options of the command.
func TestInjectedRunFunctionGetsTheArguments(t *testing.T) {
	is := is.New(t)
	f, _, _ := factorytest.New(nil)
	var ran *validate.Options
	options := validate.New(f, func(o *validate.Options) error {
		ran = o
		return nil
	})
	options.File = "some-file"
	is.NoErr(options.Run())
	is.Equal(ran.File, "some-file")
}
