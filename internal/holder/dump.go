package holder

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of a holder, for operators.
type Dump struct {
	// Name is the instance's name.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Leaving is set once the holder hands its duties over.
	Leaving bool `json:"leaving"`
	// Duties lists all duties of the domain.
	Duties []DumpDuty `json:"duties"`
}

// DumpDuty is one duty in a Dump.
type DumpDuty struct {
	// Duty is the duty's name.
	Duty string `json:"duty"`
	// Epoch is the highest known epoch.
	Epoch uint64 `json:"epoch"`
	// Owner is the instance with that epoch.
	Owner string `json:"owner"`
	// Vacant is set if the owner has given the duty up.
	Vacant bool `json:"vacant"`
	// Held is set if this instance holds the duty.
	Held bool `json:"held"`
	// Error is the reason why the term held here does not allow acts; empty if it does.
	Error string `json:"error,omitempty"`
	// Deadline is the end of the term held here unless it is renewed.
	Deadline time.Time `json:"deadline"`
	// Promised is the end of the extension that this instance granted to a holder.
	Promised time.Time `json:"promised"`
	// Claiming is set while this instance tries to gain the duty.
	Claiming bool `json:"claiming"`
}

// Dump returns the holder's state.
func (h *Holder) Dump() any {
	dump := Dump{
		Name:    h.config.Self.Name,
		Domain:  h.config.Self.Domain,
		Leaving: h.leaving.Load(),
	}
	for _, d := range h.duties {
		dump.Duties = append(dump.Duties, d.dump())
	}
	slices.SortFunc(dump.Duties, func(a, b DumpDuty) int { return cmp.Compare(a.Duty, b.Duty) })
	return dump
}

func (d *duty) dump() DumpDuty {
	d.lock.Lock()
	state := d.term
	dump := DumpDuty{
		Duty:     d.name,
		Epoch:    d.owner.Epoch,
		Owner:    d.owner.Peer.Name,
		Vacant:   d.owner.vacant,
		Held:     state != nil,
		Promised: d.extensionEnd,
		Claiming: d.claiming,
	}
	d.lock.Unlock()
	if state == nil {
		return dump
	}
	if err := state.check(); err != nil {
		dump.Error = err.Error()
	}
	dump.Deadline = Term{
		state: state,
	}.Deadline()
	return dump
}
