package fetcher_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
)

// Guards against context that crosses the wall around an isolated workspace when sets of
// isolated workspaces come and go and return, and hosts learn of them late: what a
// workspace made is read by another only if neither is isolated, both in the
// configuration of the host that reads and in that of the host that wrote.
func TestContextStaysBehindTheWallInAnyHistory(t *testing.T) {
	names := []mulberrybeam.WorkspaceName{"a", "b", "c", "d"}
	type part struct {
		maker    mulberrybeam.WorkspaceName
		isolated []mulberrybeam.WorkspaceName
	}
	rapid.Check(t, func(t *rapid.T) {
		history := [][]mulberrybeam.WorkspaceName{nil}
		made := map[string][]part{}
		for range 40 {
			if rapid.Bool().Draw(t, "change") {
				var isolated []mulberrybeam.WorkspaceName
				for _, name := range names {
					if rapid.Bool().Draw(t, "isolated") {
						isolated = append(isolated, name)
					}
				}
				history = append(history, isolated)
			}
			lag := rapid.IntRange(0, min(3, len(history)-1)).Draw(t, "lag of the host")
			isolated := history[len(history)-1-lag]
			var workspaces []mulberrybeam.WorkspaceSpec
			for _, name := range names {
				workspaces = append(workspaces, mulberrybeam.WorkspaceSpec{Name: name, Isolated: slices.Contains(isolated, name)})
			}
			reader := &workspaces[rapid.IntRange(0, len(names)-1).Draw(t, "workspace")]
			salt := fetcher.Salt(1, reader, fetcher.SharingGroup(workspaces))
			for _, found := range made[salt] {
				for _, wall := range [][]mulberrybeam.WorkspaceName{isolated, found.isolated} {
					if found.maker != reader.Name && (slices.Contains(wall, found.maker) || slices.Contains(wall, reader.Name)) {
						t.Fatalf("workspace %s reads what %s made, isolated are %v there and %v where it was made", reader.Name, found.maker, isolated, found.isolated)
					}
				}
			}
			made[salt] = append(made[salt], part{reader.Name, isolated})
		}
	})
}
