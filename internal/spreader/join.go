package spreader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// joinPause is the mean time between attempts to obtain the configuration.
const joinPause = 200 * time.Millisecond

// join obtains the highest revision among the store and the peers, and returns once the
// instance is ready. Peers alone suffice while the store is unreachable.
func (s *Spreader) join(ctx context.Context) {
	for ctx.Err() == nil {
		peers, highest := 0, uint64(0)
		if s.guards.queryPeers {
			peers, highest = s.queryPeers(ctx)
		}
		err := s.readStore(ctx)
		s.recordStoreResult(err)
		hasSource := err == nil || peers > 0
		if hasSource && s.Current().Revision() >= highest {
			s.ready.Store(true)
			s.config.Log.WithFields(logrus.Fields{
				"revision": s.Current().Revision(),
				"peers":    peers,
				"store":    err == nil,
			}).Info("ready")
			return
		}
		waiter.Pause(ctx, joinPause/2+rand.N(joinPause))
	}
}

// readStore merges the store's withdrawals, and installs its head if that is newer.
func (s *Spreader) readStore(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	entries, err := s.config.Store.List(bounded, statePrefix)
	if err != nil {
		return err
	}
	s.resetPersisted(entries)
	stored, err := findHead(entries)
	if err != nil || stored.head.Revision <= s.Current().Revision() {
		return err
	}
	next, err := s.fetchSnapshot(bounded, stored.head)
	if err != nil {
		return err
	}
	s.install(next, "store")
	return nil
}

// queryPeers queries up to maxJoinPeers peers at once for their summaries, and pulls from those
// with the highest revision. It returns how many ready peers answered, and their highest revision.
func (s *Spreader) queryPeers(ctx context.Context) (answered int, highest uint64) {
	bounded, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	others := s.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	query := &peerQuery{
		spreader: s,
	}
	for _, member := range others[:min(len(others), maxJoinPeers)] {
		p := &probe{
			query: query,
			peer:  member.Peer,
		}
		query.group.Add(1)
		go p.run(bounded)
	}
	query.group.Wait()
	return query.pullHighest(bounded)
}

// peerQuery queries several peers for their summaries.
type peerQuery struct {
	spreader *Spreader
	group    sync.WaitGroup

	mutex sync.Mutex
	// answered are the ready peers that answered, with their summaries.
	answered []pull
}

// pullHighest pulls from the peers with the highest revision. It returns how many ready peers
// answered, and the highest revision. An instance that could not obtain that revision is not
// ready: a lagging peer or store must not be its only source while a peer with a higher
// revision is known.
func (q *peerQuery) pullHighest(ctx context.Context) (answered int, highest uint64) {
	for _, answer := range q.answered {
		highest = max(highest, answer.summary.GetRevision())
	}
	s := q.spreader
	for _, answer := range q.answered {
		if _, differing := s.compareSummary(answer.summary); differing {
			_ = s.pullWithdrawals(ctx, answer.peer)
		}
		if ahead, _ := s.compareSummary(answer.summary); ahead && answer.summary.GetRevision() == highest {
			_ = s.pullHead(ctx, answer.peer)
		}
	}
	return len(q.answered), highest
}

// probe queries one peer for its summary.
type probe struct {
	query *peerQuery
	peer  messenger.Peer
}

// run records the summary of the peer if the peer is ready.
func (p *probe) run(ctx context.Context) {
	defer p.query.group.Done()
	s := p.query.spreader
	bounded, cancel := context.WithTimeout(ctx, 2*s.config.LeafTimeout)
	defer cancel()
	var answer spreaderpb.HeadAnswer
	err := s.send(bounded, p.peer, topicHead, &spreaderpb.HeadRequest{
		Brief: true,
	}, &answer)
	if err != nil || !answer.GetSummary().GetReady() {
		return
	}
	p.query.mutex.Lock()
	defer p.query.mutex.Unlock()
	p.query.answered = append(p.query.answered, pull{
		peer:    p.peer,
		summary: answer.GetSummary(),
	})
}
