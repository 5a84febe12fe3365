package keyer_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/keyer"
)

var secret = []byte("a secret of more than 16 bytes")

func newKeyer(t interface{ Fatal(...any) }) *keyer.Keyer {
	k, err := keyer.New(secret)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func drawScope(t *rapid.T, label string) keyer.Scope {
	// A small alphabet makes fields that differ only in where they end.
	name := rapid.StringMatching(`[ab]{0,3}`)
	return keyer.Scope{
		Environment: mulberrybeam.EnvironmentName(name.Draw(t, label+" environment")),
		Workspace:   mulberrybeam.WorkspaceName(name.Draw(t, label+" workspace")),
		Model:       mulberrybeam.ModelName(name.Draw(t, label+" model")),
		Version:     mulberrybeam.WeightVersion(name.Draw(t, label+" version")),
	}
}

// Guards against context of one workspace, model, weight version or
// environment that matches a prompt of another.
func TestAnotherScopeNeverMatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKeyer(t)
		one, other := drawScope(t, "one"), drawScope(t, "other")
		prompt := rapid.SliceOfN(rapid.Byte(), 0, 4*keyer.BlockBytes).Draw(t, "prompt")
		seen := map[mulberrybeam.BlockKey]bool{}
		for _, key := range k.Keys(one, prompt) {
			seen[key] = true
		}
		matches := slices.ContainsFunc(k.Keys(other, prompt), func(key mulberrybeam.BlockKey) bool { return seen[key] })
		if want := one == other && len(prompt) >= keyer.BlockBytes; matches != want {
			t.Fatalf("scopes %v and %v match: %v, want %v", one, other, matches, want)
		}
		if (k.Salt(one) == k.Salt(other)) != (one == other) {
			t.Fatalf("salts of %v and %v", one, other)
		}
		sameWorkspace := one.Workspace == other.Workspace
		if (k.Fingerprint(one.Workspace, prompt) == k.Fingerprint(other.Workspace, prompt)) != sameWorkspace {
			t.Fatalf("fingerprints of %q and %q", one.Workspace, other.Workspace)
		}
	})
}

// Guards against keys of partial blocks, and against prompts that share keys
// after or lack keys before the first differing block.
func TestPromptsShareTheKeysOfTheirCommonWholeBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKeyer(t)
		scope := drawScope(t, "scope")
		common := rapid.SliceOfN(rapid.Byte(), 0, 3*keyer.BlockBytes).Draw(t, "common")
		tail := rapid.SliceOfN(rapid.Byte(), 0, 3*keyer.BlockBytes).Draw(t, "tail")
		short := k.Keys(scope, common)
		long := k.Keys(scope, slices.Concat(common, tail))
		changed := slices.Concat(common, tail)
		if len(changed) > 0 {
			at := rapid.IntRange(0, len(changed)-1).Draw(t, "changed byte")
			changed[at]++
			for i, key := range k.Keys(scope, changed) {
				if same := key == long[i]; same != (i < at/keyer.BlockBytes) {
					t.Fatalf("byte %d changed, block %d same: %v", at, i, same)
				}
			}
		}
		if len(short) != len(common)/keyer.BlockBytes || !slices.Equal(short, long[:len(short)]) {
			t.Fatalf("%d bytes have %d keys", len(common), len(short))
		}
	})
}

// Guards against a guessable key chain from an empty or short secret.
func TestShortSecretIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := keyer.New(make([]byte, keyer.MinSecretBytes-1))
	is.True(err != nil)
	_, err = keyer.New(make([]byte, keyer.MinSecretBytes))
	is.NoErr(err)
}

func BenchmarkKeys(b *testing.B) {
	k := newKeyer(b)
	prompt := make([]byte, 64*keyer.BlockBytes)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		k.Keys(keyer.Scope{Workspace: "w", Model: "m", Version: "v"}, prompt)
	}
}
