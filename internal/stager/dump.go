package stager

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state that Dump returns.
type State struct {
	// Duties are the duties that this instance holds.
	Duties []DutyState `json:"duties"`
	// Engines are the engines whose state this instance tracks beyond their list entries.
	Engines []EngineState `json:"engines"`
	// Rates is the demand, in tokens a second, of this instance and its peers, by checkpoint
	// and adapter.
	Rates map[string]float64 `json:"rates"`
}

// DutyState is the state of one duty.
type DutyState struct {
	// Duty is the duty's name.
	Duty string `json:"duty"`
	// Epoch is the term's epoch.
	Epoch uint64 `json:"epoch"`
	// Since is when this instance noticed the term.
	Since time.Time `json:"since"`
}

// EngineState is what is known of one engine.
type EngineState struct {
	// Name is the engine's name.
	Name string `json:"name"`
	// Sequence is the number of orders that the engine has accepted, as far as that is proven.
	Sequence uint64 `json:"sequence"`
	// Doubt is set while that number is not known.
	Doubt bool `json:"doubt"`
	// Busy is set if the engine's last report showed an order for a model under way.
	Busy bool `json:"busy"`
	// Target is the checkpoint that the swap under way loads; empty if there is none.
	Target string `json:"target,omitempty"`
	// Until is when the last order is expected to end.
	Until time.Time `json:"until"`
	// Changes is the number of ordered changes that the engine's entry does not show yet.
	Changes int `json:"changes"`
	// Open is the number of orders whose outcome is not known and that may still be carried out.
	Open int `json:"open"`
	// Held are the adapters by checkpoint, with those changes.
	Held map[string][]string `json:"held"`
}

// Dump returns the state for operators: a State. It waits for orders that are under way.
func (s *Stager) Dump() any {
	s.mu.Lock()
	views := maps.Clone(s.views)
	termStarts := maps.Clone(s.termStarts)
	s.mu.Unlock()
	state := State{
		Rates: s.demand.rates(),
	}
	for duty, term := range s.terms() {
		state.Duties = append(state.Duties, DutyState{
			Duty:  duty,
			Epoch: term.Epoch,
			Since: termStarts[duty].noticed,
		})
	}
	for engine, v := range views {
		state.Engines = append(state.Engines, v.dump(engine, s.config.Now()))
	}
	slices.SortFunc(state.Engines, func(a, b EngineState) int { return cmp.Compare(a.Name, b.Name) })
	return state
}

// dump returns the state of the view.
func (v *view) dump(engine string, now time.Time) EngineState {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := EngineState{
		Name:     engine,
		Sequence: v.sequence,
		Doubt:    v.sequenceUnknown,
		Busy:     v.busy,
		Target:   v.loadingModel,
		Until:    v.busyUntil,
		Changes:  len(v.pending),
		Open:     v.expire(now),
		Held:     map[string][]string{},
	}
	for checkpoint, adapters := range v.contents() {
		state.Held[checkpoint] = slices.Sorted(maps.Keys(adapters))
	}
	return state
}
