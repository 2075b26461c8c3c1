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

// wireState creates the parts that share state with other instances: messages, membership,
// configuration and duties.
func (i *Instance) wireState() error {
	if err := i.wireMessages(); err != nil {
		return err
	}
	i.wireMembership(tracker.Config{
		List: i.store.Instances,
		Attachments: []tracker.Attachment{
			{
				Read:   func() []byte { return i.spreader.Digest() },
				Handle: func(from messenger.Peer, digest []byte) { i.spreader.Compare(from, digest) },
			},
			i.limitAttachment(),
		},
	})
	i.spreader = spreader.New(spreader.Config{
		Store:   i.store,
		Self:    i.self,
		Members: i.tracker.Members,
		Call:    i.messenger.Call,
		Log:     i.log,
	})
	i.wireDuties(append(limiter.Duties(i.settings.Duties.Limits), placer.Duties(i.settings.Duties.Placements)...), nil, false)
	return nil
}

// wireMessages creates the messenger, whose socket for peers listens from here on.
func (i *Instance) wireMessages() error {
	m, err := messenger.New(messenger.Config{
		Self:      i.self,
		Listen:    i.settings.Peers.Listen,
		ServerTLS: i.identity.Server(),
		ClientTLS: i.identity.Client(""),
		Log:       i.log,
	})
	i.messenger = m
	return err
}

// limitAttachment is the attachment of heartbeats with the limits that upstreams state.
func (i *Instance) limitAttachment() tracker.Attachment {
	return tracker.Attachment{
		Read:   func() []byte { return i.pacer.Attachment() },
		Handle: func(from messenger.Peer, attachment []byte) { i.pacer.HandleAttachment(from, attachment) },
	}
}

// wireMembership creates the guard and the tracker. The given config has the source of the instance
// list and the digest that heartbeats carry.
func (i *Instance) wireMembership(config tracker.Config) {
	i.guard = tracker.NewFreezeDetector(tracker.FreezeDetectorConfig{
		Now: i.now,
	})
	config.Self = i.self
	config.SelfPeer = i.selfPeer()
	config.ConfiguredPeers = i.settings.Peers.Known
	config.Call = i.messenger.Call
	config.FreezeDetector = i.guard
	config.Now = i.now
	config.Interval = i.settings.Membership.Interval.Duration
	config.SuspectTimeout = i.settings.Membership.Suspicion.Duration
	config.DeathTimeout = i.settings.Membership.Death.Duration
	config.ListInterval = i.settings.Platform.List.Duration
	config.Neighbours = i.settings.Membership.Neighbours
	config.Bridges = i.settings.Membership.Bridges
	config.Log = i.log
	i.tracker = tracker.New(config)
}

// wireDuties creates the holder of this instance's duties. Listed returns the number of instances in
// the failure domain according to the list of instances; it is nil if there is no such list.
// Founding is set if all instances start for the first time.
func (i *Instance) wireDuties(duties []string, listed func() int, founding bool) {
	i.holder = holder.New(holder.Config{
		Self:             i.self,
		SelfPeer:         i.selfPeer(),
		Store:            i.store,
		Members:          func() []tracker.Member { return i.tracker.Domain(i.self.Domain) },
		Listed:           listed,
		Call:             i.messenger.Call,
		FreezeDetector:   i.guard,
		Duties:           duties,
		Founding:         founding,
		ActsWithinMargin: actsWithinMargin,
		Lease:            i.settings.Duties.Lease.Duration,
		Margin:           i.settings.Duties.Margin.Duration,
		Extension:        i.settings.Duties.Extension.Duration,
		WitnessTimeout:   i.settings.Membership.Death.Duration,
		Now:              i.now,
		Log:              i.log,
	})
}

// selfPeer returns the name and address under which peers reach this instance: the advertised
// address, or else the one that it listens on.
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

// actsWithinMargin reports whether everything that a holder does under a duty takes effect within the
// lease margin. That holds for a limit duty, since a requester waits only some hundred milliseconds for
// the answer that lends or gives it budget. An order to an engine may take much longer to arrive.
func actsWithinMargin(duty string) bool { return strings.HasPrefix(duty, limiter.Topic+"/") }

// owner returns the holder of a duty and its epoch, as far as this instance knows.
func (i *Instance) owner(duty string) (messenger.Peer, uint64, bool) {
	owner, ok := i.holder.Owner(duty)
	return owner.Peer, owner.Epoch, ok
}
