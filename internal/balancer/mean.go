package balancer

import (
	"sync"
	"time"
)

// meanMemory is the time over which a mean averages: the demand for a service changes over some seconds.
const meanMemory = 5 * time.Second

// Mean averages what the upstreams of one service stated lately. It is safe for concurrent use.
type Mean struct {
	mu     sync.Mutex
	at     time.Time
	weight float64
	others float64
	// paceWeight and pace average the statements that hold a pace.
	paceWeight float64
	pace       float64
}

// Observe adds a load that an upstream stated, and the number of its requests of other instances.
func (m *Mean) Observe(at time.Time, load Load, others int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.at) {
		kept := decay(at.Sub(m.at), meanMemory)
		m.weight *= kept
		m.paceWeight *= kept
		m.at = at
	}
	m.weight++
	m.others += (float64(others) - m.others) / m.weight
	if load.Pace > 0 {
		m.paceWeight++
		m.pace += (load.Pace - m.pace) / m.paceWeight
	}
}

// Expect returns the mean number of requests of other instances that an upstream holds, and the mean pace.
func (m *Mean) Expect() (others, pace float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paceWeight == 0 {
		return m.others, 1
	}
	return m.others, m.pace
}

// Paced reports whether an upstream of the service has ever stated its pace.
func (m *Mean) Paced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paceWeight > 0
}
