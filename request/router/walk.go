package router

import "math/rand/v2"

// walk visits the places 0 to size-1 in a random order without repeating one,
// and without the memory of a permutation.
type walk struct {
	place  int
	stride int
	size   int
	left   int
}

func newWalk(random *rand.Rand, size int) walk {
	if size == 0 {
		return walk{}
	}
	w := walk{place: random.IntN(size), stride: 1, size: size, left: size}
	if size > 2 {
		w.stride = 1 + random.IntN(size-1)
	}
	// A stride without a common divisor with the size visits all places.
	for commonDivisor(w.stride, size) != 1 {
		w.stride++
	}
	return w
}

// next returns the next place, and false after the last.
func (w *walk) next() (int, bool) {
	if w.left == 0 {
		return 0, false
	}
	place := w.place
	w.place = (w.place + w.stride) % w.size
	w.left--
	return place, true
}

func commonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
