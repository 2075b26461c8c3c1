package spreader

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/spreader/spreaderpb"
)

// attempt sends the message of a fan-out to one target, which relays it to the rest.
type attempt struct {
	fan     *fan
	target  *spreaderpb.Target
	rest    []*spreaderpb.Target
	results chan<- bool
}

// run sends the message and reports whether the target answered.
func (a *attempt) run(ctx context.Context) { a.results <- a.send(ctx) }

// send sends the message, with a timeout that grows with the number of relay levels, and
// records the instances that were reached.
func (a *attempt) send(ctx context.Context) bool {
	address, err := netip.ParseAddrPort(a.target.GetAddress())
	if err != nil {
		return false
	}
	s := a.fan.spreader
	hops := 1 + relayLevels(len(a.rest), s.config.Fanout)
	bounded, cancel := context.WithTimeout(ctx, time.Duration(hops)*s.config.LeafTimeout)
	defer cancel()
	peer := messenger.Peer{
		Name:    a.target.GetName(),
		Address: address,
	}
	var answer spreaderpb.PushAnswer
	err = s.send(bounded, peer, topicPush, &spreaderpb.Push{
		Summary:     a.fan.push.GetSummary(),
		Id:          a.fan.push.GetId(),
		Change:      a.fan.push.GetChange(),
		Withdrawals: a.fan.push.GetWithdrawals(),
		Relay:       a.rest,
	}, &answer)
	metrics.GetOrCreateCounter(`buckthorngap_config_pushes_total`).Inc()
	if err != nil {
		metrics.GetOrCreateCounter(`buckthorngap_config_push_failures_total`).Inc()
		return false
	}
	a.fan.mutex.Lock()
	defer a.fan.mutex.Unlock()
	a.fan.reached = append(a.fan.reached, answer.GetReached()...)
	return true
}
