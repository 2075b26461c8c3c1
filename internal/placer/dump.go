package placer

import "time"

// Dump is the state of a Placer as shown to operators.
type Dump struct {
	// Groups are the placement duties of the domain.
	Groups []GroupDump `json:"groups"`
}

// GroupDump is the state of one placement duty.
type GroupDump struct {
	// Duty is the duty's name.
	Duty string `json:"duty"`
	// Held is set if this instance holds the duty.
	Held bool `json:"held"`
	// Epoch is the duty's epoch, if held.
	Epoch uint64 `json:"epoch,omitempty"`
	// Quarantine is the time that an engine's report must be newer than before the engine
	// gets copies.
	Quarantine time.Time `json:"quarantine,omitzero"`
	// Ledger is the current ledger, if held.
	Ledger *Ledger `json:"ledger,omitempty"`
	// Unsaved is set while the ledger is newer than the stored one.
	Unsaved bool `json:"unsaved"`
	// SlotShortage is the number of loads that wait for a slot of the weight store.
	SlotShortage int `json:"short"`
	// Wants is the demand of all instances, summed by key, if held.
	Wants []Want `json:"wants,omitempty"`
}

// Dump returns a copy of the state.
func (p *Placer) Dump() any {
	var dump Dump
	for _, g := range p.groups {
		dump.Groups = append(dump.Groups, g.dump())
	}
	return dump
}

// dump returns a copy of the state of one group.
func (g *group) dump() GroupDump {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	dump := GroupDump{
		Duty:         g.duty,
		Held:         g.ledger != nil,
		Epoch:        g.epoch,
		Quarantine:   g.quarantine,
		Unsaved:      g.unsaved,
		SlotShortage: g.slotShortage,
	}
	if g.ledger != nil {
		dump.Ledger = g.ledger.clone()
		dump.Wants = g.collector.sum(g.config.Now())
	}
	return dump
}
