package server

import (
	"time"

	"github.com/sirupsen/logrus"
)

// event writes one line about a decision on a routed request.
func (p *passage) event(name string, fields logrus.Fields) {
	if p.server.config.Log == nil || !p.routed {
		return
	}
	fields["request"] = p.id
	p.server.config.Log.WithFields(fields).Info(name)
}

// explainReceipt tells what came.
func (p *passage) explainReceipt(path string) {
	p.event("request.received", logrus.Fields{
		"method": p.request.Method,
		"host":   p.request.Host,
		"path":   path,
		"length": p.request.ContentLength,
		"remote": p.request.RemoteAddr,
	})
}

// explainRoute tells which route it goes by, or that there is none.
func (p *passage) explainRoute(found bool) {
	p.event("request.routed", logrus.Fields{
		"found":    found,
		"route":    p.route.Name,
		"revision": p.server.config.Snapshot().Revision(),
	})
}

// explainAim tells what it needs of an upstream, and what its key says.
func (p *passage) explainAim() {
	p.event("request.aimed", logrus.Fields{
		"team":    p.key.Team,
		"service": p.service.Name,
		"model":   p.facts.Model,
		"adapter": p.facts.Adapter,
		"prompt":  p.facts.Prompt,
		"answer":  p.facts.Answer,
		"bytes":   len(p.body),
		"left":    p.left(),
	})
}

// explainCharge tells what the request took of its team's limit.
func (p *passage) explainCharge(began time.Time, err error) {
	fields := logrus.Fields{
		"team":   p.key.Team,
		"tokens": p.tokens,
		"waited": p.since(began),
	}
	if err != nil {
		fields["error"] = err
	}
	p.event("request.charged", fields)
}

// explainPlace tells where the request goes and what spoke for that.
func (p *passage) explainPlace(began time.Time) {
	p.event("request.placed", logrus.Fields{
		"upstream": p.choice.Upstream,
		"busy":     p.choice.Busy,
		"slots":    p.choice.Slots,
		"unread":   p.choice.UncachedTokens,
		"missing":  p.choice.AdapterMissing,
		"waited":   p.since(began),
	})
}

// explainWait tells why the request found no place.
func (p *passage) explainWait(began time.Time) {
	if p.server.config.State == nil {
		return
	}
	state := p.server.config.State(p.need)
	p.event("request.waited", logrus.Fields{
		"holding":  state.Holding,
		"lacking":  state.Lacking,
		"full":     state.Full,
		"resting":  state.Resting,
		"excluded": state.Excluded,
		"waited":   p.since(began),
	})
}

func (p *passage) since(began time.Time) time.Duration {
	return p.server.config.Now().Sub(began).Round(time.Millisecond)
}

func (p *passage) left() time.Duration {
	return p.deadline.Sub(p.server.config.Now()).Round(time.Millisecond)
}
