package relayer

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// maxPeersQueried limits the number of instances that one call of FetchFromPeers queries.
const maxPeersQueried = 3

// FetchFromPeers requests the changes after a revision, or the complete state, from instances of this failure domain
// and then of others, while the store does not answer this one. Unlike Fetch it accepts a state of any age, since even
// an old state may be newer than this instance's. It returns false if no instance that it queried knows more.
func (r *Relayer) FetchFromPeers(ctx context.Context, after storer.Revision, complete bool) (follower.Relayed, bool) {
	queried := 0
	for _, peer := range r.fallbackPeers() {
		if queried == maxPeersQueried {
			break
		}
		if r.coolingDown(peer) {
			continue
		}
		queried++
		relayed, age, err := r.call(ctx, peer, after, complete)
		switch {
		case err == nil && (complete || relayed.Update.Revision > after):
			r.setSource(peer.Name)
			return relayed, true
		case err == nil && age <= r.maxAge():
			return follower.Relayed{}, false // this instance is up to date
		}
		metrics.GetOrCreateCounter(`buckthorngap_relay_fallback_failures_total`).Inc()
		r.coolDown(peer)
	}
	return follower.Relayed{}, false
}

// fallbackPeers returns the live instances in the order in which they are queried: the source of the last update, then
// those of this failure domain, then the others, each in random order.
func (r *Relayer) fallbackPeers() []messenger.Peer {
	peers, others := slices.Clone(r.config.Peers()), slices.Clone(r.config.Others())
	for _, group := range [][]messenger.Peer{peers, others} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	peers = append(peers, others...)
	r.mu.Lock()
	source := r.source
	r.mu.Unlock()
	if i := slices.IndexFunc(peers, func(p messenger.Peer) bool { return p.Name == source }); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	return peers
}
