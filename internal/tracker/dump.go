package tracker

import (
	"net/netip"
	"time"
)

// Dump is the state of a tracker, for operators.
type Dump struct {
	// Name is this instance's name.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Incarnation and Counter are those that this instance announces for itself.
	Incarnation uint64 `json:"incarnation"`
	Counter     uint32 `json:"counter"`
	// State is the state that this instance announces for itself.
	State State `json:"state"`
	// Joined reports whether the tracker has taken over a member's view or given up waiting for
	// one.
	Joined bool `json:"joined"`
	// Freezes counts the freezes of the process.
	Freezes uint64 `json:"freezes"`
	// Listed is the time at which the copy of the platform's list was read.
	Listed time.Time `json:"listed"`
	// Upstreams is the number of engines and services in that copy.
	Upstreams int `json:"upstreams"`
	// Members are all other instances.
	Members []DumpMember `json:"members"`
}

// DumpMember is one member in a Dump.
type DumpMember struct {
	// Name is the member's name.
	Name string `json:"name"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Address is where it listens.
	Address netip.AddrPort `json:"address"`
	// Incarnation and Counter are the latest known ones.
	Incarnation uint64 `json:"incarnation"`
	Counter     uint32 `json:"counter"`
	// State is the member's state in the tracker's view.
	State State `json:"state"`
	// Heard is the time at which this instance last heard from the member itself.
	Heard time.Time `json:"heard"`
}

// Dump returns the tracker's state.
func (t *Tracker) Dump() any {
	self := t.Self()
	t.list.lock.Lock()
	listed := t.list.read
	t.list.lock.Unlock()
	dump := Dump{
		Name:        self.Peer.Name,
		Domain:      self.Domain,
		Incarnation: self.Incarnation,
		Counter:     self.Counter,
		State:       self.State,
		Joined:      t.Joined(),
		Freezes:     t.config.FreezeDetector.Generation(),
		Listed:      listed,
		Upstreams:   len(t.Upstreams()),
	}
	for _, member := range t.Members() {
		dump.Members = append(dump.Members, DumpMember{
			Name:        member.Peer.Name,
			Domain:      member.Domain,
			Address:     member.Peer.Address,
			Incarnation: member.Incarnation,
			Counter:     member.Counter,
			State:       member.State,
			Heard:       member.LastHeard,
		})
	}
	return dump
}
