package ranker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mulberrybeam/version/ranker"
)

// Guards against keys that move between the remaining nodes when one is removed.
func TestRemovingANodeMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	nodes := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		before := ranker.Top(key, nodes, 1)[0]
		after := ranker.Top(key, nodes[:3], 1)[0]
		if before == "d" {
			moved++
			continue
		}
		is.Equal(before, after)
	}
	is.True(moved > 150 && moved < 350) // about a quarter of the keys was on d
}

// Guards against a ranking that depends on the order of the input.
func TestTopDoesNotDependOnTheInputOrder(t *testing.T) {
	is := is.New(t)
	is.Equal(ranker.Top("k", []string{"a", "b", "c"}, 2), ranker.Top("k", []string{"c", "a", "b"}, 2))
	is.Equal(len(ranker.Top("k", []string{"a"}, 2)), 1)
	is.Equal(len(ranker.Top("k", []string{}, 1)), 0)
}
