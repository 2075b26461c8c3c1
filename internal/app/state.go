package app

import (
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/placer"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// wireState makes what holds state with other instances: messages, membership,
// configuration and duties.
func (i *Instance) wireState() error {
	if err := i.wireMessages(); err != nil {
		return err
	}
	i.wireMembership(tracker.Config{
		List:    i.store.Instances,
		Attach:  func() []byte { return i.spreader.Digest() },
		Deliver: func(from messenger.Peer, digest []byte) { i.spreader.Compare(from, digest) },
	})
	i.spreader = spreader.New(spreader.Config{
		Store:   i.store,
		Self:    i.self,
		Members: i.tracker.Members,
		Call:    i.messenger.Call,
		Log:     i.log,
	})
	i.wireDuties(append(limiter.Duties(i.settings.Duties.Limits), placer.Duties(i.settings.Duties.Placements)...), nil)
	return nil
}

func (i *Instance) wireMessages() error {
	made, err := messenger.New(messenger.Config{
		Self:      i.self,
		Listen:    i.settings.Peers.Listen,
		ServerTLS: i.identity.Server(),
		ClientTLS: i.identity.Client(""),
		Log:       i.log,
	})
	i.messenger = made
	return err
}

// wireMembership makes the tracker, given where its list comes from and what
// its heartbeats carry along.
func (i *Instance) wireMembership(config tracker.Config) {
	i.guard = tracker.NewGuard(tracker.GuardConfig{
		Now: i.now,
	})
	config.Self = i.self
	config.SelfPeer = i.selfPeer()
	config.Known = i.settings.Peers.Known
	config.Call = i.messenger.Call
	config.Guard = i.guard
	config.Now = i.now
	config.Interval = i.settings.Membership.Interval.Duration
	config.Suspicion = i.settings.Membership.Suspicion.Duration
	config.Death = i.settings.Membership.Death.Duration
	config.ListInterval = i.settings.Platform.List.Duration
	config.Neighbours = i.settings.Membership.Neighbours
	config.Bridges = i.settings.Membership.Bridges
	config.Log = i.log
	i.tracker = tracker.New(config)
}

// wireDuties makes the holder of this instance's duties, given the number of
// instances of the failure domain by the platform's list, if that is known.
func (i *Instance) wireDuties(duties []string, listed func() int) {
	i.holder = holder.New(holder.Config{
		Self:             i.self,
		SelfPeer:         i.selfPeer(),
		Store:            i.store,
		Members:          func() []tracker.Member { return i.tracker.Domain(i.self.Domain) },
		Listed:           listed,
		Call:             i.messenger.Call,
		Guard:            i.guard,
		Duties:           duties,
		ActsWithinMargin: brief,
		Lease:            i.settings.Duties.Lease.Duration,
		Margin:           i.settings.Duties.Margin.Duration,
		Extension:        i.settings.Duties.Extension.Duration,
		Death:            i.settings.Membership.Death.Duration,
		Now:              i.now,
		Log:              i.log,
	})
}

func (i *Instance) selfPeer() messenger.Peer {
	address := i.settings.Peers.Advertise
	if !address.IsValid() {
		address = i.settings.Peers.Listen
	}
	return messenger.Peer{
		Name:    i.settings.Name,
		Address: address,
	}
}

// brief tells whether all acts of a duty take effect within the margin. A
// limit duty's do: an answer that lends or gives is awaited for some hundred
// milliseconds. An order to an engine may be long on its way.
func brief(duty string) bool { return strings.HasPrefix(duty, limiter.Topic+"/") }

// owner tells who holds a duty, as far as known here.
func (i *Instance) owner(duty string) (messenger.Peer, uint64, bool) {
	owner, ok := i.holder.Owner(duty)
	return owner.Peer, owner.Epoch, ok
}
