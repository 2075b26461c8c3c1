package limiter

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

const (
	// TopicDelegatedSpend is the message topic of delegated spending: requests to a peer of the failure domain
	// to spend tokens on behalf of this instance. On the wire, the request is a limiterpb.Favour and the answer
	// a limiterpb.Spent.
	TopicDelegatedSpend = "limit.favour"
	// delegateTimeout bounds one request to one peer.
	delegateTimeout = 300 * time.Millisecond
	// maxDelegates is the maximum number of peers that are asked to spend.
	maxDelegates = 3
	// delegateSearchInterval is the time between two searches for a peer that accepts delegated spending.
	delegateSearchInterval = time.Second
)

// reserveThroughPeer lets another instance of the failure domain spend the tokens. It is used while no holder
// has recorded this instance, which therefore has no budget of its own: an instance that starts while the store
// is unreachable is not recorded before the outage ends. If a peer's answer is lost, the tokens it spent are lost
// too.
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
		spent, err := l.requestSpend(ctx, peer, payload)
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

// requestSpend sends one request to spend tokens to a peer.
func (l *Limiter) requestSpend(ctx context.Context, peer messenger.Peer, payload []byte) (*limiterpb.Spent, error) {
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	answer, err := l.config.Call(ctx, peer, TopicDelegatedSpend, payload)
	if err != nil {
		return nil, err
	}
	spent := &limiterpb.Spent{}
	return spent, proto.Unmarshal(answer, spent)
}

// delegates returns the live instances of the same failure domain that may be asked to spend.
func (l *Limiter) delegates() []messenger.Peer {
	peers := l.alivePeers(l.config.Domain)
	return peers[:min(len(peers), maxDelegates)]
}

// alivePeers returns the live instances of a failure domain, without this one.
func (l *Limiter) alivePeers(domain string) []messenger.Peer {
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
		RetryAt: l.config.Now().Add(delegateSearchInterval),
	}
}

// correctRefusal returns err, or a refusal with CodeStarting while no holder has recorded this instance: the
// team's budget is unknown then, so the refusal must not claim that it is spent.
func (l *Limiter) correctRefusal(team string, err error) error {
	if l.rule.lends() && !l.borrowers[l.dutyNumber(team)].isRegistered() {
		return l.refuseUnregistered()
	}
	return err
}

// handleDelegatedSpend spends tokens on behalf of another instance, if holders have recorded this one. A request
// without a team only checks for that.
func (l *Limiter) handleDelegatedSpend(ctx context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	request := &limiterpb.Favour{}
	if err := proto.Unmarshal(payload, request); err != nil {
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
	if request.GetTeam() == "" {
		return proto.Marshal(spent)
	}
	reservation, err := l.Reserve(ctx, Request{
		Team:   request.GetTeam(),
		Tokens: request.GetTokens(),
	})
	if err != nil {
		spent.Granted = false
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) && !refusal.RetryAt.IsZero() {
			spent.Wait = int64(max(0, refusal.RetryAt.Sub(l.config.Now())))
		}
		return proto.Marshal(spent)
	}
	reservation.Settle(request.GetTokens())
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

// findDelegate checks regularly whether a peer accepts delegated spending, until holders have recorded this
// instance.
func (l *Limiter) findDelegate(ctx context.Context) {
	payload, err := proto.Marshal(&limiterpb.Favour{})
	if err != nil {
		return
	}
	for !l.registered() {
		found := false
		for _, peer := range l.delegates() {
			if _, err := l.requestSpend(ctx, peer, payload); err == nil {
				found = true
				break
			}
		}
		l.delegateFound.Store(found)
		if !waiter.Pause(ctx, delegateSearchInterval) {
			return
		}
	}
}
