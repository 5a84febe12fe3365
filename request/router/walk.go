package router

import "math/rand/v2"

// walk visits the indexes 0 to size-1 in random order, each exactly once,
// without storing a permutation.
type walk struct {
	index     int
	stride    int
	size      int
	remaining int
}

func newWalk(random *rand.Rand, size int) walk {
	if size == 0 {
		return walk{}
	}
	w := walk{index: random.IntN(size), stride: 1, size: size, remaining: size}
	if size > 2 {
		w.stride = 1 + random.IntN(size-1)
	}
	// A stride that is coprime to the size visits every index.
	for gcd(w.stride, size) != 1 {
		w.stride++
	}
	return w
}

// next returns the next index, or false after the last one.
func (w *walk) next() (int, bool) {
	if w.remaining == 0 {
		return 0, false
	}
	index := w.index
	w.index = (w.index + w.stride) % w.size
	w.remaining--
	return index, true
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
