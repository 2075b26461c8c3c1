package limiter

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	pauser "github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	// TopicFavour is the topic of favours: requests to a peer to spend tokens for this instance.
	TopicFavour = "limit.favour"
	// favourTimeout bounds one favour request to one peer.
	favourTimeout = 300 * time.Millisecond
	// maxDelegates is the number of peers that a favour is requested from.
	maxDelegates = 3
	// favourInterval is the time between two searches for a peer that does favours.
	favourInterval = time.Second
)

// reserveThroughPeer lets another instance of the failure domain spend the tokens. It serves an instance that
// no holder has recorded and that therefore has no budget of its own: one that starts while the store is
// unreachable is not recorded before the outage ends. If a peer's answer is lost, so are the tokens it spent.
func (l *Limiter) reserveThroughPeer(ctx context.Context, team string, tokens int64) error {
	payload, err := proto.Marshal(&limiterpb.Favour{
		Team:   team,
		Tokens: tokens,
	})
	if err != nil {
		return err
	}
	refusal := l.refuseUnregistered()
	for _, peer := range l.delegates() {
		spent, err := l.requestFavour(ctx, peer, payload)
		if err != nil {
			continue
		}
		if spent.GetGranted() {
			l.metrics.admitted.Inc()
			return nil
		}
		now := l.config.Now()
		l.metrics.refused.Inc()
		return refuseRate(now, now.Add(time.Duration(spent.GetWait())))
	}
	l.metrics.refused.Inc()
	return refusal
}

// requestFavour sends one favour request to a peer.
func (l *Limiter) requestFavour(ctx context.Context, peer messenger.Peer, payload []byte) (*limiterpb.Spent, error) {
	ctx, cancel := context.WithTimeout(ctx, favourTimeout)
	defer cancel()
	answer, err := l.config.Call(ctx, peer, TopicFavour, payload)
	if err != nil {
		return nil, err
	}
	spent := &limiterpb.Spent{}
	return spent, proto.Unmarshal(answer, spent)
}

// delegates returns the live instances of the same failure domain to request favours from.
func (l *Limiter) delegates() []messenger.Peer {
	peers := l.alive(l.config.Domain)
	return peers[:min(len(peers), maxDelegates)]
}

// alive returns the live instances of a failure domain, without this one.
func (l *Limiter) alive(domain string) []messenger.Peer {
	if l.config.Members == nil {
		return nil
	}
	var peers []messenger.Peer
	for _, member := range l.config.Members() {
		if member.Domain == domain && member.State == tracker.Alive {
			peers = append(peers, member.Peer)
		}
	}
	return peers
}

// refuseUnregistered refuses a request because this instance has no budget yet, though the team may have
// some.
func (l *Limiter) refuseUnregistered() *refuser.Refusal {
	return &refuser.Refusal{
		Code:    refuser.CodeStarting,
		Outcome: refuser.NotRun,
		Detail:  "the instance has no part in the teams' limits yet",
		RetryAt: l.config.Now().Add(favourInterval),
	}
}

// correctRefusal returns err, or a refusal that blames the starting instance while no holder has recorded it:
// nothing is known of the team's budget then, so err must not claim that it is spent.
func (l *Limiter) correctRefusal(team string, err error) error {
	if l.rule.lends() && !l.borrowers[l.dutyNumber(team)].isRegistered() {
		return l.refuseUnregistered()
	}
	return err
}

// handleFavour spends tokens for another instance, if this one is recorded. A favour without a team only
// checks that.
func (l *Limiter) handleFavour(ctx context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	favour := &limiterpb.Favour{}
	if err := proto.Unmarshal(payload, favour); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	if from.Domain != l.config.Domain || !l.registered() {
		return nil, &Malformed{}
	}
	spent := &limiterpb.Spent{
		Granted: true,
	}
	if favour.GetTeam() == "" {
		return proto.Marshal(spent)
	}
	reservation, err := l.Reserve(ctx, Request{
		Team:   favour.GetTeam(),
		Tokens: favour.GetTokens(),
	})
	if err != nil {
		spent.Granted = false
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) && !refusal.RetryAt.IsZero() {
			spent.Wait = int64(max(0, refusal.RetryAt.Sub(l.config.Now())))
		}
		return proto.Marshal(spent)
	}
	reservation.Settle(favour.GetTokens())
	return proto.Marshal(spent)
}

// registered reports whether the holders of all duties have recorded the instance.
func (l *Limiter) registered() bool {
	for _, b := range l.borrowers {
		if !b.isRegistered() {
			return false
		}
	}
	return true
}

// findDelegate checks regularly whether a peer does favours, until this instance is recorded.
func (l *Limiter) findDelegate(ctx context.Context) {
	payload, err := proto.Marshal(&limiterpb.Favour{})
	if err != nil {
		return
	}
	for !l.registered() {
		found := false
		for _, peer := range l.delegates() {
			if _, err := l.requestFavour(ctx, peer, payload); err == nil {
				found = true
				break
			}
		}
		l.delegateFound.Store(found)
		if !pauser.Pause(ctx, favourInterval) {
			return
		}
	}
}
