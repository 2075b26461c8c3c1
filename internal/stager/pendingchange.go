package stager

import "time"

// pendingChange is the effect of one order on the contents of an engine.
type pendingChange struct {
	// shownFrom is the time from which list entries show the effect. An entry that was read
	// earlier need not show it, however long ago that was.
	shownFrom time.Time
	// sequence is the sequence that the order named. The engine's own report shows the effect if its sequence is higher, except
	// for a model that is being loaded.
	sequence   uint64
	checkpoint string
	adapter    string
	held       bool
}

// shownBy reports whether an engine's own report with a sequence shows the effect.
func (c pendingChange) shownBy(sequence uint64) bool {
	return sequence > c.sequence && (c.adapter != "" || !c.held)
}

// apply adds the effect to the contents of an engine.
func (c pendingChange) apply(current map[string]map[string]bool) {
	switch {
	case c.adapter == "" && c.held:
		if current[c.checkpoint] == nil {
			current[c.checkpoint] = map[string]bool{}
		}
	case c.adapter == "":
		delete(current, c.checkpoint)
	case current[c.checkpoint] == nil:
	case c.held:
		current[c.checkpoint][c.adapter] = true
	default:
		delete(current[c.checkpoint], c.adapter)
	}
}
