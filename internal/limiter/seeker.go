package limiter

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// TopicPlea carries the pleas of limit duties to other failure domains.
const TopicPlea = "limit.plea"

// seeker asks the holders of other failure domains for budget that they do not
// use, on behalf of a holder whose domain has more than its part of the requests.
type seeker struct {
	lender *lender
	// holders are the instances that were last known to hold the duty, by domain.
	holders map[string]string
}

// seeks tells whether there are other domains to ask.
func (s *seeker) seeks() bool {
	limiter := s.lender.limiter
	return limiter.config.Members != nil && limiter.config.Call != nil &&
		len(limiter.config.Domains) > 1 && limiter.rule.stocks()
}

// seek asks every other domain for a part of what lacks.
func (s *seeker) seek(ctx context.Context) {
	limiter := s.lender.limiter
	if !s.seeks() {
		return
	}
	epoch, amounts := s.lender.lacks()
	if len(amounts) == 0 {
		return
	}
	for _, amount := range amounts {
		amount.Tokens /= float64(len(limiter.config.Domains) - 1)
	}
	payload, err := proto.Marshal(&limiterpb.Plea{
		Duty:    uint32(s.lender.number),
		Amounts: amounts,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, giftLife)
	defer cancel()
	var pleas []*plea
	for _, domain := range limiter.config.Domains {
		peer, ok := s.target(domain)
		if !ok {
			continue
		}
		one := &plea{
			seeker:   s,
			domain:   domain,
			peer:     peer,
			epoch:    epoch,
			payload:  payload,
			deadline: limiter.config.Now().Add(giftLife),
			done:     make(chan struct{}),
		}
		pleas = append(pleas, one)
		go one.run(ctx)
	}
	for _, one := range pleas {
		<-one.done
		s.holders[one.domain] = one.holder
	}
	s.lender.judge(epoch, amounts, pleas)
}

// target is the instance of a domain that is asked.
func (s *seeker) target(domain string) (messenger.Peer, bool) {
	var chosen messenger.Peer
	found := false
	if domain == s.lender.limiter.config.Domain {
		return chosen, false
	}
	for _, peer := range s.lender.limiter.alive(domain) {
		if !found || peer.Name == s.holders[domain] {
			chosen, found = peer, true
		}
	}
	return chosen, found
}

// plea is one message to another domain.
type plea struct {
	seeker   *seeker
	domain   string
	peer     messenger.Peer
	epoch    uint64
	payload  []byte
	deadline time.Time
	holder   string
	given    []*limiterpb.Amount
	done     chan struct{}
}

func (p *plea) run(ctx context.Context) {
	defer close(p.done)
	gift := p.ask(ctx)
	if gift.GetHolder() != "" && p.redirect(gift.GetHolder()) {
		gift = p.ask(ctx)
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
	p.seeker.lender.accept(p.epoch, p.deadline, gift.GetAmounts())
}

// ask returns the answer of the instance that is asked, or nil if there is none.
func (p *plea) ask(ctx context.Context) *limiterpb.Gift {
	data, err := p.seeker.lender.limiter.config.Call(ctx, p.peer, TopicPlea, p.payload)
	gift := &limiterpb.Gift{}
	if err != nil || proto.Unmarshal(data, gift) != nil {
		return nil
	}
	return gift
}

// redirect has the plea ask the instance that holds the duty. It reports false
// if that is not a live instance of the domain.
func (p *plea) redirect(holder string) bool {
	for _, peer := range p.seeker.lender.limiter.alive(p.domain) {
		if peer.Name == holder {
			p.peer = peer
			return true
		}
	}
	return false
}

func (l *Limiter) handlePlea(_ context.Context, _ messenger.Sender, payload []byte) ([]byte, error) {
	received := &limiterpb.Plea{}
	if err := proto.Unmarshal(payload, received); err != nil {
		return nil, &Malformed{
			Cause: err,
		}
	}
	if int(received.GetDuty()) >= len(l.lenders) || !l.rule.stocks() {
		return nil, &Malformed{}
	}
	return proto.Marshal(l.lenders[received.GetDuty()].give(received))
}
