package fetcher

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"mulberrybeam"
)

const (
	// workspaceSeparator and groupSeparator separate the weight version in a salt
	// from the workspace and from the sharing group. softwareSeparator comes before
	// the hash of a software version.
	workspaceSeparator = "/"
	groupSeparator     = "+"
	softwareSeparator  = "~"
	// groupBytes is the length of the hash in a sharing group.
	groupBytes = 8
)

// SharingGroup returns the name of the group of all workspaces that are not
// isolated. It changes with the set of isolated workspaces, so that a workspace
// that becomes isolated leaves the context behind that it shared before.
func SharingGroup(workspaces []mulberrybeam.WorkspaceSpec) string {
	var isolated []string
	for _, workspace := range workspaces {
		if workspace.Isolated {
			isolated = append(isolated, strconv.Quote(string(workspace.Name)))
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	digest := sha256.Sum256([]byte(strings.Join(slices.Compact(isolated), ",")))
	return hex.EncodeToString(digest[:groupBytes])
}

// Salt returns the cache salt for context that a weight version computes for a
// workspace. An isolated workspace has a salt of its own; all others share that of
// their sharing group.
func Salt(version int, workspace *mulberrybeam.WorkspaceSpec, group string) string {
	salt := strconv.Itoa(version)
	switch {
	case workspace != nil && workspace.Isolated:
		salt += workspaceSeparator + string(workspace.Name)
	case group != "":
		salt += groupSeparator + group
	}
	return salt
}

// WithSoftware returns a salt for context that a software version computes.
func WithSoftware(salt string, software mulberrybeam.SoftwareVersion) string {
	if software == "" {
		return salt
	}
	end := digitsOf(salt)
	digest := sha256.Sum256([]byte(software))
	return salt[:end] + softwareSeparator + hex.EncodeToString(digest[:groupBytes]) + salt[end:]
}

// digitsOf returns the length of the weight version at the beginning of a salt.
func digitsOf(salt string) int {
	if end := strings.IndexAny(salt, workspaceSeparator+groupSeparator+softwareSeparator); end >= 0 {
		return end
	}
	return len(salt)
}

// VersionOf returns the weight version of a salt, or false if the salt was not
// created by Salt or WithSoftware.
func VersionOf(salt string) (int, bool) {
	version, err := strconv.Atoi(salt[:digitsOf(salt)])
	return version, err == nil
}
