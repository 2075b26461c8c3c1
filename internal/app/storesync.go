package app

import (
	"context"
	"slices"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/adopter"
	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/enlister"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/relayer"
	"github.com/buckthorngap/buckthorngap/internal/resumer"
	"github.com/buckthorngap/buckthorngap/internal/stager"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// wireStoreSync creates the parts that follow the store: the adopter of the configuration, the lists
// of upstreams and instances, the relayer that shares one reader's updates with its peers, and the
// follower that feeds them.
func (f *Front) wireStoreSync() {
	f.adopter = adopter.New(adopter.Config{
		Key:    f.config.Configuration.Key,
		Decode: f.config.Configuration.Decode,
		Call: func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			return f.messenger.Call(ctx, to, topic, payload)
		},
		Now: f.now,
		Log: f.log,
	})
	f.snapshot = f.adopter.Current
	f.upstreams = lister.New(lister.Config{
		Prefix:          f.config.Upstreams.Prefix,
		Decode:          f.config.Upstreams.Decode,
		ReregisterGrace: f.config.Upstreams.ReregisterGrace,
		Changed:         f.observeCold,
		GraceLimit:      f.config.Upstreams.GraceLimit,
		Now:             f.now,
		Log:             f.log,
	})
	f.instances = lister.New(lister.Config{
		Prefix:          enlister.Prefix,
		Decode:          enlister.Decode,
		ReregisterGrace: enlister.Lease,
		Now:             f.now,
		Log:             f.log.WithField("list", "instances"),
	})
	f.relayer = relayer.New(relayer.Config{
		Self:   f.self.Name,
		Peers:  f.domainPeers,
		Others: f.otherPeers,
		Cores:  f.cores,
		Call: func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			return f.messenger.Call(ctx, to, topic, payload)
		},
		Renewals:     f.holdsStageDuty,
		ReadInterval: f.config.WatchInterval,
		Now:          f.now,
		Log:          f.log,
	})
	f.resumer = resumer.New(resumer.Config{
		Self:      f.self.Name,
		Store:     f.store,
		Upstreams: f.upstreams.Upstreams,
		Confirmed: f.relayer.Confirmed,
		Peers:     f.allPeers,
		Call: func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			return f.messenger.Call(ctx, to, topic, payload)
		},
		Now: f.now,
		Log: f.log,
	})
	f.drainer = drainer.New(drainer.Config{
		Leave: f.leave,
		Tell:  f.informer.Tell,
		Now:   f.now,
		Log:   f.log,
	})
	f.follower = follower.New(follower.Config{
		Store:          f.store,
		WatchInterval:  f.relayer.ReadInterval,
		FetchRelayed:   f.relayer.Fetch,
		FetchFromPeers: f.relayer.FetchFromPeers,
		Observe:        f.relayer.Record,
		Relevant:       f.relevant,
		ComparedPart:   f.compared,
		Apply:          f.apply,
		Now:            f.now,
		Log:            f.log,
	})
}

// relevant reports whether the follower tracks an entry of the store: the configuration, evacuations, upstreams,
// instances, versions and streams. All other entries are read by the parts that write them.
func (f *Front) relevant(key string) bool {
	if key == f.config.Configuration.Key || f.evacuator.Tracks(key) {
		return true
	}
	return strings.HasPrefix(key, resumer.Prefix) || strings.HasPrefix(key, resumer.StreamsPrefix) || strings.HasPrefix(key, f.config.Upstreams.Prefix) || strings.HasPrefix(key, enlister.Prefix)
}

// compared returns the part of an entry's value whose change counts as an update.
func (f *Front) compared(entry storer.Entry) []byte {
	if strings.HasPrefix(entry.Key, f.config.Upstreams.Prefix) {
		return f.config.Upstreams.ComparedPart(entry)
	}
	return entry.Value
}

// domainPeers returns the other live instances of this instance's failure domain.
func (f *Front) domainPeers() []messenger.Peer { return f.livePeers(f.settings.Domain) }

// otherPeers returns the live instances of the other failure domains.
func (f *Front) otherPeers() []messenger.Peer {
	var peers []messenger.Peer
	for _, domain := range f.settings.Limits.Domains {
		if domain != f.settings.Domain {
			peers = append(peers, f.livePeers(domain)...)
		}
	}
	return peers
}

// allPeers returns the live instances of all failure domains.
func (f *Front) allPeers() []messenger.Peer { return append(f.domainPeers(), f.otherPeers()...) }

// livePeers returns the other live instances of a failure domain.
func (f *Front) livePeers(domain string) []messenger.Peer {
	members := f.tracker.Alive(domain)
	peers := make([]messenger.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, member.Peer)
	}
	return peers
}

// cores returns the processor time that an instance may use, in cores, or 0 if the instance is not listed.
func (f *Front) cores(name string) float64 {
	if name == f.self.Name {
		return f.config.Cores
	}
	row, _ := f.instances.Row(name)
	return row.Instance.Cores
}

// holdsStageDuty reports whether this instance holds a duty to order loads. It then needs to know
// how old the engines' entries are, also where their content has not changed.
func (f *Front) holdsStageDuty() bool {
	return slices.ContainsFunc(stager.Duties(f.settings.Duties.Placements), func(name string) bool {
		_, held := f.holder.Term(name)
		return held
	})
}

// apply passes an update of the store to the parts that use it. A single watch covers
// configuration, upstreams and instances: upstreams write so often that a watch seldom waits, and
// each call counts against the budget of store calls.
func (f *Front) apply(update follower.Update) {
	f.evacuator.Apply(update) // before the upstreams, which must not be used in between
	f.adopter.Apply(update)
	f.instances.Apply(update)
	f.upstreams.Apply(update)
	f.resumer.Apply(update)
	f.router.Refresh()
	if update.Restored {
		f.rewrite()
	}
}

// leave stops new requests to an upstream that has told that it leaves.
func (f *Front) leave(departure drainer.Departure) bool {
	if !f.upstreams.Leave(departure) {
		return false
	}
	f.router.Refresh()
	return true
}

// rewrite writes again what a restored store may lack of this instance.
func (f *Front) rewrite() {
	f.enlister.Refresh()
	f.rewriter.request()
}

// listInstances returns the listed instances in the form that the tracker reads.
func (f *Front) listInstances(context.Context) ([]storer.Instance, error) {
	return f.instances.Upstreams(), nil
}

// listedInDomain returns the number of listed instances in this instance's failure domain.
func (f *Front) listedInDomain() int {
	count := 0
	for _, instance := range f.instances.Upstreams() {
		if instance.Domain == f.settings.Domain {
			count++
		}
	}
	return count
}
