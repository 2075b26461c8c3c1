package placer

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// slotInterval is the time between accesses to the document of the floating slots.
	slotInterval = 250 * time.Millisecond
	// slotIdle is how long an unused floating slot is kept.
	slotIdle = time.Second
)

// slotNeed is the reason why a group accesses the document of the floating slots.
type slotNeed int

const (
	// slotsSuffice means that no change is needed.
	slotsSuffice slotNeed = iota
	// slotsWanted means that the group needs one more slot.
	slotsWanted
	// slotsUnneeded means that the group can return a slot.
	slotsUnneeded
	// slotsContended means that the group returns a slot if other groups wait for one.
	slotsContended
)

// slots are the weight store slots that a group may use, each for one load at a time: fixed
// ones that it always has, and floating ones that it takes from a document in the store
// while it has more to load.
type slots struct {
	config *Config
	// name identifies the group in the document.
	name     string
	fixed    []string
	floating *slotStore

	// owned are the floating slots that the document assigns to this epoch.
	owned []string
	// current is set if owned matches the document as last read or written.
	current bool
	// nextAt is the earliest time of the next access to the document.
	nextAt time.Time
	// neededAt is when a floating slot was last needed.
	neededAt time.Time
}

// newSlots returns the slots of a duty. Every group gets the same number of fixed slots;
// the remainder of the division are floating.
func newSlots(config *Config, duty string) *slots {
	shares := max(1, len(config.Domains)) * config.DutyCount
	s := &slots{
		config: config,
		name:   config.Domain + "/" + duty,
	}
	for i := range config.Settings.Slots / shares {
		s.fixed = append(s.fixed, fmt.Sprintf("%s/%d", s.name, i))
	}
	s.floating = newSlotStore(config, config.Settings.Slots%shares)
	return s
}

// free returns the slots that no recorded load uses.
func (s *slots) free(ledger *Ledger) []string {
	taken := make(map[string]bool, len(ledger.Intents))
	for i := range ledger.Intents {
		taken[ledger.Intents[i].Slot] = true
	}
	inUse := func(name string) bool { return taken[name] }
	return slices.DeleteFunc(slices.Concat(s.fixed, s.owned), inUse)
}

// reset discards the floating slots of an earlier epoch, until the document assigns them to
// the new one.
func (s *slots) reset() {
	s.owned = nil
	s.current = false
	s.nextAt = time.Time{}
}

// balance takes a floating slot if loads wait for one, and returns one if it is not needed
// or other groups wait. The parameter shortage is the number of loads that wait for a slot,
// open the number of slots that are certainly unused.
func (s *slots) balance(ctx context.Context, epoch uint64, shortage, open int, ledger *Ledger) {
	now := s.config.Now()
	if s.floating.count == 0 || now.Before(s.nextAt) || s.floating.backingOff() {
		return
	}
	idle := s.idleFloating(ledger)
	if shortage > 0 || len(idle) < len(s.owned) {
		s.neededAt = now
	}
	need := s.need(idle, shortage, open, now)
	if s.current && need == slotsSuffice {
		return
	}
	s.nextAt = now.Add(slotInterval)
	s.updateDocument(ctx, epoch, need, idle)
}

// need returns the reason to access the document, if any.
func (s *slots) need(idle []string, shortage, open int, now time.Time) slotNeed {
	spare := len(idle) > 0 && open > 0
	switch {
	case spare && shortage > 0:
		return slotsContended
	case spare && now.Sub(s.neededAt) >= slotIdle:
		return slotsUnneeded
	case shortage > 0 && len(idle) == 0:
		return slotsWanted
	default:
		return slotsSuffice
	}
}

// updateDocument reads the document and changes it as needed.
func (s *slots) updateDocument(ctx context.Context, epoch uint64, need slotNeed, idle []string) {
	s.current = false
	now := s.config.Now()
	document, err := s.floating.read(ctx)
	if err != nil {
		return
	}
	changed := document.adopt(s.name, epoch)
	switch {
	case need == slotsUnneeded || need == slotsContended && document.othersWait(s.name, now):
		changed = document.release(s.name, idle[0]) || changed
	case need == slotsWanted:
		changed = document.take(s.name, epoch, now) || changed
	}
	if changed && s.floating.write(ctx, document) != nil {
		s.owned = nil
		return
	}
	s.owned = document.owned(s.name, epoch)
	s.current = true
}

// idleFloating returns the floating slots that no recorded load uses.
func (s *slots) idleFloating(ledger *Ledger) []string {
	free := s.free(ledger)
	return slices.DeleteFunc(slices.Clone(s.owned), func(name string) bool {
		return !slices.Contains(free, name)
	})
}
