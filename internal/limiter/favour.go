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
	// TopicFavour is the topic of favours.
	TopicFavour = "limit.favour"
	// favourTime ends the question of one instance for a favour.
	favourTime = 300 * time.Millisecond
	// favourAsks is the number of instances that are asked for a favour.
	favourAsks = 3
	// favourRest is the time between looks whether an instance would do favours.
	favourRest = time.Second
)

// favour has another instance of the failure domain spend the tokens. It is
// for an instance that no holder has recorded, which has no budget of its own:
// one that starts while the store is out is not recorded before that is over.
// The answer of an instance that is lost loses its tokens.
func (l *Limiter) favour(ctx context.Context, team string, tokens int64) error {
	payload, err := proto.Marshal(&limiterpb.Favour{
		Team:   team,
		Tokens: tokens,
	})
	if err != nil {
		return err
	}
	refused := l.refuseUnrecorded()
	for _, peer := range l.helpers() {
		spent, err := l.askFavour(ctx, peer, payload)
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
	return refused
}

func (l *Limiter) askFavour(ctx context.Context, peer messenger.Peer, payload []byte) (*limiterpb.Spent, error) {
	ctx, cancel := context.WithTimeout(ctx, favourTime)
	defer cancel()
	answer, err := l.config.Call(ctx, peer, TopicFavour, payload)
	if err != nil {
		return nil, err
	}
	spent := &limiterpb.Spent{}
	return spent, proto.Unmarshal(answer, spent)
}

// helpers are instances of the own failure domain that may do favours.
func (l *Limiter) helpers() []messenger.Peer {
	peers := l.alive(l.config.Domain)
	return peers[:min(len(peers), favourAsks)]
}

// alive are the live instances of a failure domain, without this one.
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

// refuseUnrecorded refuses a request for which there is no budget, though its
// team may have some.
func (l *Limiter) refuseUnrecorded() *refuser.Refusal {
	return &refuser.Refusal{
		Code:    refuser.CodeStarting,
		Outcome: refuser.NotRun,
		Detail:  "the instance has no part in the teams' limits yet",
		RetryAt: l.config.Now().Add(favourRest),
	}
}

// truthful is a refusal of a team's request: nothing is known of its budget
// while no holder has recorded this instance.
func (l *Limiter) truthful(team string, err error) error {
	if l.rule.lends() && !l.borrowers[l.duty(team)].ready() {
		return l.refuseUnrecorded()
	}
	return err
}

// handleFavour spends for another instance, if this one is recorded.
func (l *Limiter) handleFavour(ctx context.Context, from messenger.Sender, payload []byte) ([]byte, error) {
	asked := &limiterpb.Favour{}
	if err := proto.Unmarshal(payload, asked); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	if from.Domain != l.config.Domain || !l.recorded() {
		return nil, &Malformed{}
	}
	spent := &limiterpb.Spent{
		Granted: true,
	}
	if asked.GetTeam() == "" {
		return proto.Marshal(spent)
	}
	reservation, err := l.Reserve(ctx, Ask{
		Team:   asked.GetTeam(),
		Tokens: asked.GetTokens(),
	})
	if err != nil {
		spent.Granted = false
		var refused *refuser.Refusal
		if errors.As(err, &refused) && !refused.RetryAt.IsZero() {
			spent.Wait = int64(max(0, refused.RetryAt.Sub(l.config.Now())))
		}
		return proto.Marshal(spent)
	}
	reservation.Settle(asked.GetTokens())
	return proto.Marshal(spent)
}

// recorded tells whether holders of all duties have recorded the instance.
func (l *Limiter) recorded() bool {
	for _, b := range l.borrowers {
		if !b.ready() {
			return false
		}
	}
	return true
}

// look asks now and then whether an instance would do favours, while this one
// is not recorded.
func (l *Limiter) look(ctx context.Context) {
	payload, err := proto.Marshal(&limiterpb.Favour{})
	if err != nil {
		return
	}
	for !l.recorded() {
		helped := false
		for _, peer := range l.helpers() {
			if _, err := l.askFavour(ctx, peer, payload); err == nil {
				helped = true
				break
			}
		}
		l.helped.Store(helped)
		if !pauser.Pause(ctx, favourRest) {
			return
		}
	}
}
