package limiter

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// requester requests unused budget from the holders of other failure domains when the domain of its lender
// receives more than its share of the requests.
type requester struct {
	lender *lender
	// holders are the last known holders of the duty, by domain.
	holders map[string]string
}

// enabled reports whether there are other domains that budget can be requested from.
func (r *requester) enabled() bool {
	limiter := r.lender.limiter
	return limiter.config.Members != nil && limiter.config.Call != nil &&
		len(limiter.config.Domains) > 1 && limiter.rule.buffers()
}

// request requests an equal part of the shortfall from every other domain and waits for the answers.
func (r *requester) request(ctx context.Context) {
	limiter := r.lender.limiter
	if !r.enabled() {
		return
	}
	epoch, amounts := r.lender.shortfalls()
	if len(amounts) == 0 {
		return
	}
	for _, amount := range amounts {
		amount.Tokens /= float64(len(limiter.config.Domains) - 1)
	}
	payload, err := proto.Marshal(&limiterpb.Plea{
		Duty:    uint32(r.lender.number),
		Amounts: amounts,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTTL)
	defer cancel()
	var requests []*transferRequest
	for _, domain := range limiter.config.Domains {
		peer, ok := r.selectPeer(domain)
		if !ok {
			continue
		}
		sent := &transferRequest{
			requester: r,
			domain:    domain,
			peer:      peer,
			epoch:     epoch,
			payload:   payload,
			deadline:  limiter.config.Now().Add(transferTTL),
			done:      make(chan struct{}),
		}
		requests = append(requests, sent)
		go sent.run(ctx)
	}
	for _, sent := range requests {
		<-sent.done
		r.holders[sent.domain] = sent.holder
	}
	r.lender.recordUnmet(epoch, amounts, requests)
}

// selectPeer returns the instance of a domain that the request is sent to: the last known holder or, if it is
// not alive, any live instance.
func (r *requester) selectPeer(domain string) (messenger.Peer, bool) {
	var chosen messenger.Peer
	found := false
	if domain == r.lender.limiter.config.Domain {
		return chosen, false
	}
	for _, peer := range r.lender.limiter.alivePeers(domain) {
		if !found || peer.Name == r.holders[domain] {
			chosen, found = peer, true
		}
	}
	return chosen, found
}
