package app

import (
	"context"
	"slices"
	"strings"

	"github.com/buckthorngap/buckthorngap/internal/adopter"
	"github.com/buckthorngap/buckthorngap/internal/enlister"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/relayer"
	"github.com/buckthorngap/buckthorngap/internal/stager"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// follow makes what keeps up with the store.
func (f *Front) follow() {
	f.adopter = adopter.New(adopter.Config{
		Key:    f.config.Configuration.Key,
		Decode: f.config.Configuration.Decode,
		Log:    f.log,
	})
	f.snapshot = f.adopter.Current
	f.upstreams = lister.New(lister.Config{
		Prefix:          f.config.Upstreams.Prefix,
		Decode:          f.config.Upstreams.Decode,
		ReregisterGrace: f.config.Upstreams.Return,
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
		Self:  f.self.Name,
		Peers: f.neighbours,
		Share: f.share,
		Call: func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			return f.messenger.Call(ctx, to, topic, payload)
		},
		Renewals: f.staging,
		Pause:    f.config.Pause,
		Now:      f.now,
		Log:      f.log,
	})
	f.follower = follower.New(follower.Config{
		Store:        f.store,
		Pause:        f.relayer.Pause,
		FetchRelayed: f.relayer.Fetch,
		Observe:      f.relayer.Record,
		Relevant:     f.keep,
		Compared:     f.essence,
		Apply:        f.apply,
		Now:          f.now,
		Log:          f.log,
	})
}

// keep tells whether an entry of the store is followed. Others are read by the
// parts that write them.
func (f *Front) keep(key string) bool {
	return key == f.config.Configuration.Key || strings.HasPrefix(key, f.config.Upstreams.Prefix) || strings.HasPrefix(key, enlister.Prefix)
}

// essence is what of an entry's value matters.
func (f *Front) essence(entry storer.Entry) []byte {
	if strings.HasPrefix(entry.Key, f.config.Upstreams.Prefix) {
		return f.config.Upstreams.Essence(entry)
	}
	return entry.Value
}

// neighbours are the other live instances of the own failure domain.
func (f *Front) neighbours() []messenger.Peer {
	members := f.tracker.Alive(f.settings.Domain)
	peers := make([]messenger.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, member.Peer)
	}
	return peers
}

// share is the processor share of an instance, as far as it is listed.
func (f *Front) share(name string) float64 {
	if name == f.self.Name {
		return f.config.Share
	}
	row, _ := f.instances.Row(name)
	return row.Instance.Share
}

// staging tells whether this instance orders loads: it then needs to know how
// old what engines say is, also where they say nothing new.
func (f *Front) staging() bool {
	return slices.ContainsFunc(stager.Duties(f.settings.Duties.Placements), func(name string) bool {
		_, held := f.holder.Term(name)
		return held
	})
}

// apply takes what changed in the store. One watch of everything brings
// configuration, upstreams and instances: upstreams write so often that it
// seldom waits, and each call is paid for.
func (f *Front) apply(update follower.Update) {
	f.adopter.Apply(update)
	f.instances.Apply(update)
	f.upstreams.Apply(update)
	f.router.Refresh()
}

// listInstances is the list of instances, as the tracker reads it.
func (f *Front) listInstances(context.Context) ([]storer.Instance, error) {
	return f.instances.Upstreams(), nil
}

// listed is the number of instances of the own failure domain by the list.
func (f *Front) listed() int {
	count := 0
	for _, instance := range f.instances.Upstreams() {
		if instance.Domain == f.settings.Domain {
			count++
		}
	}
	return count
}
