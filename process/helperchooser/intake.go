package helperchooser

// Intake bounds the requests of other hosts that this host runs at a time, so that it
// keeps room for its own callers. It is not safe for concurrent use.
type Intake struct {
	MaxRequests int
	MaxBytes    int64
	Requests    int
	Bytes       int64
}

const (
	// maxRequests and maxBytes are the default bounds. A host of the smallest kind holds
	// 34 MB for callers.
	maxRequests = 64
	maxBytes    = 8 << 20
	// memoryFraction is the part of the memory for callers that the bodies may take.
	memoryFraction = 0.25
)

// NewIntake returns an Intake of a host with this much memory for callers in bytes, or 0
// if that is not known.
func NewIntake(memory int64) Intake {
	bytes := int64(maxBytes)
	if memory > 0 {
		bytes = min(bytes, int64(memoryFraction*float64(memory)))
	}
	return Intake{MaxRequests: maxRequests, MaxBytes: bytes}
}

// Begin counts a request with a body of this size, or returns false if there is no room.
func (i *Intake) Begin(bytes int64) bool {
	if i.Requests >= i.MaxRequests || bytes < 0 || i.Bytes+bytes > i.MaxBytes {
		return false
	}
	i.Requests++
	i.Bytes += bytes
	return true
}

// End frees the room of a request.
func (i *Intake) End(bytes int64) {
	i.Requests--
	i.Bytes -= bytes
}
