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

// draw generates up to 3 complete blocks and a partial one. Drawing the bytes
// one by one would hardly ever fill a block.
func draw(t *rapid.T, label string) []byte {
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
		prompt, tail := draw(t, "prompt"), draw(t, "tail")
		keys, salts, prints := map[mulberrybeam.BlockKey]bool{}, map[string]bool{}, map[mulberrybeam.Fingerprint]bool{}
		for _, scope := range scopes {
			own := k.Keys(scope, prompt)
			for _, key := range own {
				if keys[key] {
					t.Fatalf("a key of scope %v equals a key of another scope or block", scope)
				}
				keys[key] = true
			}
			salts[k.Salt(scope)], prints[k.Fingerprint(scope.Workspace, prompt)] = true, true
			long := slices.Concat(prompt, tail)
			longKeys := k.Keys(scope, long)
			if len(own) != len(prompt)/keyer.BlockBytes || !slices.Equal(own, longKeys[:len(own)]) {
				t.Fatalf("%d bytes have %d keys, or a longer prompt has other leading keys", len(prompt), len(own))
			}
			if len(long) == 0 {
				continue
			}
			at := rapid.IntRange(0, len(long)-1).Draw(t, "changed byte")
			long[at]++
			for i, key := range k.Keys(scope, long) {
				if (key == longKeys[i]) != (i < at/keyer.BlockBytes) {
					t.Fatalf("byte %d changed: wrong match of the keys of block %d", at, i)
				}
			}
		}
		if len(salts) != len(scopes) || len(prints) != 4 { // the scopes have four distinct workspaces
			t.Fatalf("got %d distinct salts and %d distinct fingerprints", len(salts), len(prints))
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
