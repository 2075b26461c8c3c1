package pacer

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/delegator"
	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/pacer/pacerpb"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// askTimeout bounds a request for permits: two messages each way, and the set-up of their connections.
const askTimeout = 150 * time.Millisecond

// ask is a request for permits to the holder of an upstream's duty.
type ask struct {
	pacer *Pacer
	gate  *gate
}

// run sends the request, applies the answer and lets waiting requests try again, now and once the next permit may be
// had.
func (a *ask) run(ctx context.Context) {
	p := a.pacer
	count, known := a.gate.nextBatch(), a.gate.known()
	sent := p.config.Now()
	grant, err := p.request(ctx, a.gate.upstream, count, known)
	now := p.config.Now()
	if err == nil && now.Sub(sent) > askTimeout {
		// The process was suspended meanwhile: the permits may be outdated.
		err = context.DeadlineExceeded
	}
	if err != nil {
		a.fail(now, err)
		p.config.Changed()
		p.config.Denied()
		return
	}
	p.learn(grant.GetLimit())
	wait := time.Duration(max(0, grant.GetWait()))
	if a.gate.credit(now, count, int(grant.GetCount()), wait) {
		p.config.Log.WithField("upstream", a.gate.upstream.Name).Info("pace.answered")
	}
	p.config.Changed()
	if wait == 0 {
		return
	}
	p.config.Denied()
	if waiter.Pause(ctx, wait) {
		p.config.Changed()
	}
}

// fail records that the request got no answer.
func (a *ask) fail(now time.Time, err error) {
	p := a.pacer
	p.metrics.unanswered.Inc()
	known := a.gate.known().effective(now)
	started := a.gate.fail(now, func() *fallback {
		return newFallback(now, known, p.config.Instances(), p.config.Random)
	})
	if started {
		p.config.Log.WithField("upstream", a.gate.upstream.Name).WithError(err).Info("pace.unanswered")
	}
}

// request asks the holder of an upstream's duty for permits. A count of zero only reports the limit.
func (p *Pacer) request(ctx context.Context, upstream Upstream, count int, known limit) (*pacerpb.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	p.metrics.asked.Inc()
	answer, err := p.delegator.Send(ctx, p.delegate(&pacerpb.Ask{
		Limit: known.encode(upstream, p.config.Now()),
		Count: uint32(count),
		Duty:  uint32(p.dutyNumber(upstream)),
	}))
	if err != nil {
		return nil, err
	}
	grant := &pacerpb.Grant{}
	return grant, proto.Unmarshal(answer, grant)
}

// grantingDomain returns the failure domain whose instances grant the permits for the upstreams of a domain: the domain
// itself or, if it has no live instance, the next one that has.
func (p *Pacer) grantingDomain(domain string) string {
	first := max(0, slices.Index(p.config.Domains, domain))
	for i := range p.config.Domains {
		candidate := p.config.Domains[(first+i)%len(p.config.Domains)]
		if candidate == p.config.Self.Domain || len(p.config.LiveMembers(candidate)) > 0 {
			return candidate
		}
	}
	return domain
}

// delegate returns the request to the holder of a duty that carries an ask.
func (p *Pacer) delegate(message *pacerpb.Ask) delegator.Request {
	number := int(message.GetDuty()) % len(p.config.Duties)
	return delegator.Request{
		Domain:    p.grantingDomain(message.GetLimit().GetDomain()),
		Duty:      p.config.Duties[number],
		Number:    number,
		Forwarded: message.GetForwarded(),
		Encode: func(forwarded bool) ([]byte, error) {
			message.Forwarded = forwarded
			return proto.Marshal(message)
		},
		Serve: func(_ context.Context, term holder.Fence) ([]byte, error) { return p.serve(term, message) },
	}
}
