package admission

import (
	"math"
	"time"
)

// rateMeter measures a rate per second over an exponentially decaying window. Before a
// full window has passed, it divides by the part that has, at least one second.
type rateMeter struct {
	started   bool
	startedAt time.Duration
	updatedAt time.Duration
	sum       float64
}

func (m *rateMeter) add(now time.Duration, amount float64) {
	if !m.started {
		m.started, m.startedAt, m.updatedAt = true, now, now
	}
	m.decay(now)
	m.sum += amount
}

func (m *rateMeter) decay(now time.Duration) {
	m.sum *= math.Exp(-float64(now-m.updatedAt) / float64(drainTimeConstant))
	m.updatedAt = now
}

// rate returns the measured amount per second, zero before the first call of add.
func (m *rateMeter) rate(now time.Duration) float64 {
	if !m.started {
		return 0
	}
	sum := m.sum * math.Exp(-float64(now-m.updatedAt)/float64(drainTimeConstant))
	// The window is the integral of the decaying weight over the time measured so
	// far.
	window := drainTimeConstant.Seconds() * (1 - math.Exp(-float64(now-m.startedAt)/float64(drainTimeConstant)))
	return sum / max(window, 1)
}
