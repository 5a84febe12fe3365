package fetcher_test

import (
	"testing"

	"github.com/matryer/is"

	"mulberrybeam"
	"mulberrybeam/request/fetcher"
)

// Guards against context shared between weight versions or with an isolated
// workspace.
func TestSalt(t *testing.T) {
	is := is.New(t)
	isolated, shared := &mulberrybeam.WorkspaceSpec{Name: "w", Isolated: true}, &mulberrybeam.WorkspaceSpec{Name: "v"}
	group := fetcher.SharingGroup([]mulberrybeam.WorkspaceSpec{*isolated, *shared})
	for _, group := range []string{"", group} {
		is.Equal(fetcher.Salt(2, shared, group), fetcher.Salt(2, nil, group))
		is.True(fetcher.Salt(2, isolated, group) != fetcher.Salt(2, nil, group))
		is.True(fetcher.Salt(2, isolated, group) != fetcher.Salt(3, isolated, group))
		is.True(fetcher.Salt(2, shared, group) != fetcher.Salt(3, shared, group))
	}
	for _, salt := range []string{fetcher.Salt(12, isolated, group), fetcher.Salt(12, shared, group), fetcher.Salt(12, shared, "")} {
		version, valid := fetcher.VersionOf(salt)
		is.True(valid)
		is.Equal(version, 12)
	}
	for _, salt := range []string{"other", "", "/w", "+12"} {
		_, valid := fetcher.VersionOf(salt)
		is.True(!valid)
	}
}

// Guards against context that a workspace made before it became isolated and that
// others go on using, also after further changes there and back.
func TestSaltLeavesContextOfIsolatedWorkspacesBehind(t *testing.T) {
	names := []mulberrybeam.WorkspaceName{"a", "b", "c", "b\",\"c"}
	madeBy := map[string]map[mulberrybeam.WorkspaceName]bool{}
	// Each bit of a state says whether a workspace is isolated.
	for _, state := range []uint{0, 1, 2, 6, 3, 0, 8, 1, 7, 15, 4, 0, 2, 14, 1} {
		workspaces := make([]mulberrybeam.WorkspaceSpec, len(names))
		for i, name := range names {
			workspaces[i] = mulberrybeam.WorkspaceSpec{Name: name, Isolated: state&(1<<i) != 0}
		}
		group := fetcher.SharingGroup(workspaces)
		isolated := map[mulberrybeam.WorkspaceName]bool{}
		for _, workspace := range workspaces {
			isolated[workspace.Name] = workspace.Isolated
		}
		for _, workspace := range workspaces {
			salt := fetcher.Salt(1, &workspace, group)
			for maker := range madeBy[salt] {
				if maker != workspace.Name && (isolated[maker] || workspace.Isolated) {
					t.Errorf("state %b: %q uses context of %q under salt %q", state, workspace.Name, maker, salt)
				}
			}
			if madeBy[salt] == nil {
				madeBy[salt] = map[mulberrybeam.WorkspaceName]bool{}
			}
			madeBy[salt][workspace.Name] = true
		}
	}
}

// Guards against stored context of two software versions that mixes, and against
// a salt whose weight version is not found, so that old context is not removed.
func TestSaltWithSoftware(t *testing.T) {
	is := is.New(t)
	workspace := &mulberrybeam.WorkspaceSpec{Name: "w", Isolated: true}
	for _, salt := range []string{fetcher.Salt(12, workspace, ""), fetcher.Salt(12, nil, "group"), fetcher.Salt(12, nil, "")} {
		is.Equal(fetcher.WithSoftware(salt, ""), salt)
		first, second := fetcher.WithSoftware(salt, "v1"), fetcher.WithSoftware(salt, "v1/w")
		is.True(first != second && first != salt)
		version, valid := fetcher.VersionOf(second)
		is.True(valid)
		is.Equal(version, 12)
	}
}
