package platform

import "time"

// rateMeter is a token bucket that also records the highest number of calls
// within one second. Platform.mu guards it.
type rateMeter struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
	recent     []time.Time
	peak       int
}

// allow counts a call and reports whether the rate limit allows it.
func (m *rateMeter) allow(now time.Time) bool {
	m.recent = append(m.recent, now)
	for now.Sub(m.recent[0]) >= time.Second {
		m.recent = m.recent[1:]
	}
	m.peak = max(m.peak, len(m.recent))
	if m.rate <= 0 {
		return true
	}
	if !m.refilledAt.IsZero() {
		m.tokens = min(m.rate, m.tokens+now.Sub(m.refilledAt).Seconds()*m.rate)
	}
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}
