package limiter

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// TopicPlea is the message topic of pleas: requests of a duty holder to other failure domains for unused
// budget.
const TopicPlea = "limit.plea"

// requester requests unused budget from the holders of other failure domains, for a holder whose domain has
// more than its part of the requests.
type requester struct {
	lender *lender
	// holders are the last known holders of the duty, by domain.
	holders map[string]string
}

// enabled reports whether there are other domains to send pleas to.
func (r *requester) enabled() bool {
	limiter := r.lender.limiter
	return limiter.config.Members != nil && limiter.config.Call != nil &&
		len(limiter.config.Domains) > 1 && limiter.rule.buffers()
}

// request sends every other domain a plea for an equal part of the shortfall and waits for the answers.
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
	ctx, cancel := context.WithTimeout(ctx, giftTTL)
	defer cancel()
	var pleas []*plea
	for _, domain := range limiter.config.Domains {
		peer, ok := r.target(domain)
		if !ok {
			continue
		}
		p := &plea{
			requester: r,
			domain:    domain,
			peer:      peer,
			epoch:     epoch,
			payload:   payload,
			deadline:  limiter.config.Now().Add(giftTTL),
			done:      make(chan struct{}),
		}
		pleas = append(pleas, p)
		go p.run(ctx)
	}
	for _, p := range pleas {
		<-p.done
		r.holders[p.domain] = p.holder
	}
	r.lender.recordUnmet(epoch, amounts, pleas)
}

// target returns the instance of a domain that gets the plea: the last known holder or, if it is not alive,
// any live instance.
func (r *requester) target(domain string) (messenger.Peer, bool) {
	var chosen messenger.Peer
	found := false
	if domain == r.lender.limiter.config.Domain {
		return chosen, false
	}
	for _, peer := range r.lender.limiter.alive(domain) {
		if !found || peer.Name == r.holders[domain] {
			chosen, found = peer, true
		}
	}
	return chosen, found
}

// plea is one request to another domain and its result.
type plea struct {
	requester *requester
	domain    string
	peer      messenger.Peer
	epoch     uint64
	payload   []byte
	deadline  time.Time
	holder    string
	given     []*limiterpb.Amount
	done      chan struct{}
}

// run sends the plea, follows one redirection to the holder, and credits the gift.
func (p *plea) run(ctx context.Context) {
	defer close(p.done)
	gift := p.send(ctx)
	if gift.GetHolder() != "" && p.redirect(gift.GetHolder()) {
		gift = p.send(ctx)
	}
	if gift == nil {
		return
	}
	p.holder = gift.GetHolder()
	if p.holder != "" {
		return
	}
	p.holder = p.peer.Name
	p.given = gift.GetAmounts()
	p.requester.lender.acceptGift(p.epoch, p.deadline, gift.GetAmounts())
}

// send sends the plea and returns the answer, or nil if there is none.
func (p *plea) send(ctx context.Context) *limiterpb.Gift {
	data, err := p.requester.lender.limiter.config.Call(ctx, p.peer, TopicPlea, p.payload)
	gift := &limiterpb.Gift{}
	if err != nil || proto.Unmarshal(data, gift) != nil {
		return nil
	}
	return gift
}

// redirect aims the plea at the instance that holds the duty. It reports false if that is not a live instance
// of the domain.
func (p *plea) redirect(holder string) bool {
	for _, peer := range p.requester.lender.limiter.alive(p.domain) {
		if peer.Name == holder {
			p.peer = peer
			return true
		}
	}
	return false
}

// handlePlea answers the plea of another domain.
func (l *Limiter) handlePlea(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	received := &limiterpb.Plea{}
	if err := proto.Unmarshal(payload, received); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	if int(received.GetDuty()) >= len(l.lenders) || !l.rule.buffers() {
		return nil, &Malformed{}
	}
	return proto.Marshal(l.lenders[received.GetDuty()].answerPlea(received))
}
