package spreader

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
)

// pushAttempt sends the message of a multicast to one target, which relays it to the rest.
type pushAttempt struct {
	multicast *multicast
	target    *spreaderpb.Target
	rest      []*spreaderpb.Target
	results   chan<- bool
}

// run sends the message and reports whether the target answered.
func (a *pushAttempt) run(ctx context.Context) { a.results <- a.send(ctx) }

// send sends the message, with a timeout that grows with the number of relay levels, and
// records the instances that were reached.
func (a *pushAttempt) send(ctx context.Context) bool {
	address, err := netip.ParseAddrPort(a.target.GetAddress())
	if err != nil {
		return false
	}
	s := a.multicast.spreader
	hops := 1 + relayLevels(len(a.rest), s.config.Fanout)
	bounded, cancel := context.WithTimeout(ctx, time.Duration(hops)*s.config.LeafTimeout)
	defer cancel()
	peer := messenger.Peer{
		Name:    a.target.GetName(),
		Address: address,
	}
	var answer spreaderpb.PushAnswer
	err = s.send(bounded, peer, topicPush, &spreaderpb.Push{
		Summary:     a.multicast.push.GetSummary(),
		Id:          a.multicast.push.GetId(),
		Change:      a.multicast.push.GetChange(),
		Withdrawals: a.multicast.push.GetWithdrawals(),
		Relay:       a.rest,
	}, &answer)
	metrics.GetOrCreateCounter(`buckthorngap_config_pushes_total`).Inc()
	if err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_config_push_failures_total`).Inc()
		return false
	}
	a.multicast.mutex.Lock()
	defer a.multicast.mutex.Unlock()
	a.multicast.reached = append(a.multicast.reached, answer.GetReached()...)
	return true
}
