package spreader

// State is the state that Dump returns. It contains no key hashes.
type State struct {
	// Revision is the revision in force on this instance.
	Revision uint64 `json:"revision"`
	// Digest is the digest of the configuration.
	Digest string `json:"digest"`
	// Ready is set once the instance has obtained the configuration.
	Ready bool `json:"ready"`
	// Watching is set while this instance watches the store for its domain.
	Watching bool `json:"watching"`
	// Withdrawals is the number of known withdrawals.
	Withdrawals int `json:"withdrawals"`
	// Undurable is the number of withdrawal documents that the store may lack. Only instances
	// that watch the store know it; the others report zero.
	Undurable int `json:"undurable"`
	// Store is the store's last error; empty if its last call succeeded.
	Store string `json:"store"`
	// Acts are the identities of the most recent acts, oldest first.
	Acts []string `json:"acts"`
}

// dumpedActs is the number of acts that a dump lists.
const dumpedActs = 16

// Dump returns the state of the Spreader.
func (s *Spreader) Dump() any {
	current := s.Current()
	s.mutex.Lock()
	storeError := s.storeError
	s.mutex.Unlock()
	state := State{
		Revision:    current.Revision(),
		Digest:      current.Digest().String(),
		Ready:       s.Ready(),
		Watching:    s.watching(),
		Withdrawals: current.Withdrawals().Count(),
		Store:       storeError,
	}
	if state.Watching {
		state.Undurable = len(s.unpersisted())
	}
	acts := current.Acts()
	for _, act := range acts[max(0, len(acts)-dumpedActs):] {
		state.Acts = append(state.Acts, act.ID)
	}
	return state
}
