package stager

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is what Dump returns.
type State struct {
	// Duties are the duties that are held here.
	Duties []DutyState `json:"duties"`
	// Engines are those that this instance knows more of than the list says.
	Engines []EngineState `json:"engines"`
	// Rates are the tokens a second that are asked for here and at peers, by checkpoint.
	Rates map[string]float64 `json:"rates"`
}

// DutyState is the state of one duty.
type DutyState struct {
	// Duty is the duty's name.
	Duty string `json:"duty"`
	// Epoch is the term's epoch.
	Epoch uint64 `json:"epoch"`
	// Since is when the term began here.
	Since time.Time `json:"since"`
}

// EngineState is what is known of one engine.
type EngineState struct {
	// Name is the engine's name.
	Name string `json:"name"`
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64 `json:"sequence"`
	// Doubt is set while that number is not known.
	Doubt bool `json:"doubt"`
	// Busy is set if it carried out an order for a model when it last told.
	Busy bool `json:"busy"`
	// Target is the checkpoint that was ordered last.
	Target string `json:"target,omitempty"`
	// Until is when that order is expected to be done.
	Until time.Time `json:"until"`
	// Changes is the number of changes ordered that the engine's entry does not show yet.
	Changes int `json:"changes"`
	// Held are the adapters by checkpoint, with those changes.
	Held map[string][]string `json:"held"`
}

// Dump returns the state for operators: a State. It waits for orders under way.
func (s *Stager) Dump() any {
	s.mu.Lock()
	books := maps.Clone(s.books)
	since := maps.Clone(s.since)
	s.mu.Unlock()
	state := State{
		Rates: s.demand.rates(),
	}
	for name, term := range s.terms() {
		state.Duties = append(state.Duties, DutyState{
			Duty:  name,
			Epoch: term.Epoch,
			Since: since[name].at,
		})
	}
	for engine, kept := range books {
		state.Engines = append(state.Engines, kept.dump(engine))
	}
	slices.SortFunc(state.Engines, func(a, b EngineState) int { return cmp.Compare(a.Name, b.Name) })
	return state
}

func (b *book) dump(engine string) EngineState {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := EngineState{
		Name:     engine,
		Sequence: b.sequence,
		Doubt:    b.doubt,
		Busy:     b.busy,
		Target:   b.target,
		Until:    b.until,
		Changes:  len(b.changes),
		Held:     map[string][]string{},
	}
	for checkpoint, adapters := range b.contents() {
		state.Held[checkpoint] = slices.Sorted(maps.Keys(adapters))
	}
	return state
}
