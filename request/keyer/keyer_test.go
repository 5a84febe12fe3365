package keyer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mulberrybeam"
	"mulberrybeam/request/keyer"
)

// scopes differ from the first one in one field, or only in where the
// boundaries between fields lie.
var scopes = []keyer.Scope{
	{Environment: "e", Workspace: "ab", Model: "ab", Version: "1"},
	{Environment: "f", Workspace: "ab", Model: "ab", Version: "1"},
	{Environment: "e", Workspace: "ac", Model: "ab", Version: "1"},
	{Environment: "e", Workspace: "ab", Model: "ac", Version: "1"},
	{Environment: "e", Workspace: "ab", Model: "ab", Version: "2"},
	{Environment: "e", Workspace: "a", Model: "bab", Version: "1"},
	{Environment: "ea", Workspace: "b", Model: "ab", Version: "1"},
	{Environment: "e", Workspace: "ab", Model: "ab1"},
}

// drawPrompt generates up to 3 complete blocks and a partial one. Drawing the
// bytes one by one would hardly ever fill a block.
func drawPrompt(t *rapid.T, label string) []byte {
	prompt := make([]byte, rapid.IntRange(0, 3).Draw(t, label)*keyer.BlockBytes+rapid.IntRange(0, keyer.BlockBytes-1).Draw(t, label+" rest"))
	_, _ = rand.NewChaCha8([32]byte{rapid.Byte().Draw(t, label+" seed")}).Read(prompt)
	return prompt
}

// Guards against context of one workspace, model, weight version or environment
// that matches that of another, against keys of partial blocks, and against
// prompts that share keys after their first differing block or lack common keys
// before it.
func TestKeysMatchExactlyForCommonBlocksOfOneScope(t *testing.T) {
	is := is.New(t)
	_, err := keyer.New(make([]byte, keyer.MinSecretBytes-1))
	is.True(err != nil) // the secret is too short
	k, err := keyer.New(make([]byte, keyer.MinSecretBytes))
	is.NoErr(err)
	rapid.Check(t, func(t *rapid.T) {
		prompt, tail := drawPrompt(t, "prompt"), drawPrompt(t, "tail")
		keys, salts, fingerprints := map[mulberrybeam.BlockKey]bool{}, map[string]bool{}, map[mulberrybeam.Fingerprint]bool{}
		for _, scope := range scopes {
			scopeKeys := k.Keys(scope, prompt)
			for _, key := range scopeKeys {
				if keys[key] {
					t.Fatalf("a key of scope %v equals a key of another scope or block", scope)
				}
				keys[key] = true
			}
			salts[k.Salt(scope)], fingerprints[k.Fingerprint(scope.Workspace, prompt)] = true, true
			extended := slices.Concat(prompt, tail)
			extendedKeys := k.Keys(scope, extended)
			if len(scopeKeys) != len(prompt)/keyer.BlockBytes || !slices.Equal(scopeKeys, extendedKeys[:len(scopeKeys)]) {
				t.Fatalf("%d bytes have %d keys, or a longer prompt has other leading keys", len(prompt), len(scopeKeys))
			}
			if len(extended) == 0 {
				continue
			}
			changed := rapid.IntRange(0, len(extended)-1).Draw(t, "changed byte")
			extended[changed]++
			for i, key := range k.Keys(scope, extended) {
				if (key == extendedKeys[i]) != (i < changed/keyer.BlockBytes) {
					t.Fatalf("byte %d changed: wrong match of the keys of block %d", changed, i)
				}
			}
		}
		if len(salts) != len(scopes) || len(fingerprints) != 4 { // the scopes have four distinct workspaces
			t.Fatalf("got %d distinct salts and %d distinct fingerprints", len(salts), len(fingerprints))
		}
	})
}

func BenchmarkKeys(b *testing.B) {
	k, _ := keyer.New(make([]byte, keyer.MinSecretBytes))
	prompt := make([]byte, 64*keyer.BlockBytes)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		k.Keys(scopes[0], prompt)
	}
}
