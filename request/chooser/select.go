package chooser

import "time"

// nthSmallest returns the value that would be at index n if the values were sorted. It
// reorders them, in a time proportional to their number on average.
func nthSmallest(values []time.Duration, n int) time.Duration {
	low, high := 0, len(values)-1
	for low < high {
		pivot := values[low+(high-low)/2]
		i, j := low, high
		for i <= j {
			for values[i] < pivot {
				i++
			}
			for values[j] > pivot {
				j--
			}
			if i <= j {
				values[i], values[j] = values[j], values[i]
				i++
				j--
			}
		}
		switch {
		case n <= j:
			high = j
		case n >= i:
			low = i
		default:
			return values[n]
		}
	}
	return values[n]
}
