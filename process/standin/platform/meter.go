package platform

import "time"

// meter is a token bucket that also records the highest number of calls within
// one second. Platform.mu guards it.
type meter struct {
	rate   float64
	tokens float64
	at     time.Time
	recent []time.Time
	peak   int
}

// take counts a call and reports whether the rate limit allows it.
func (m *meter) take(now time.Time) bool {
	m.recent = append(m.recent, now)
	for now.Sub(m.recent[0]) >= time.Second {
		m.recent = m.recent[1:]
	}
	m.peak = max(m.peak, len(m.recent))
	if m.rate <= 0 {
		return true
	}
	if !m.at.IsZero() {
		m.tokens = min(m.rate, m.tokens+now.Sub(m.at).Seconds()*m.rate)
	}
	m.at = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}
