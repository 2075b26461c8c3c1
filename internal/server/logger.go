package server

import (
	"log"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/logger"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// log writes the line of the request and counts it.
func (p *passage) log() {
	if p.outcome == "" {
		p.outcome = p.bare()
	}
	span := p.server.config.Now().Sub(p.started)
	metrics.GetOrCreateCounter(`buckthorngap_requests_total{outcome="` + string(p.outcome) + `",code="` + string(p.code) + `"}`).Inc()
	metrics.GetOrCreateHistogram(`buckthorngap_request_seconds`).Update(span.Seconds())
	if !p.result.First.IsZero() {
		metrics.GetOrCreateHistogram(`buckthorngap_first_token_seconds`).Update(p.result.First.Sub(p.started).Seconds())
	}
	if p.server.config.Log == nil {
		return
	}
	fields := logrus.Fields{
		"request": p.id,
		"team":    p.key.Team,
		"outcome": p.outcome,
		"code":    p.code,
		"status":  p.status,
		"tokens":  p.result.Prompt + p.result.Generated,
		"seconds": span.Seconds(),
	}
	p.describe(fields)
	line := p.server.config.Log.WithFields(fields)
	if p.outcome == refuser.Unknown {
		line.Warn("request")
		return
	}
	line.Info("request")
}

// describe adds what only some requests have.
func (p *passage) describe(fields logrus.Fields) {
	if p.model.Name != "" {
		fields["model"] = p.model.Name
		fields["version"] = p.version.Name
	}
	if p.adapter.Name != "" {
		fields["adapter"] = p.adapter.Name
	}
	if p.service.Name != "" {
		fields["service"] = p.service.Name
	}
	if p.result.Upstream != "" {
		fields["upstream"] = p.result.Upstream
		fields["attempts"] = p.result.Attempts
	}
	if p.routed {
		p.describeRoute(fields)
	}
	if p.result.Resumes > 0 {
		fields["resumes"] = p.result.Resumes
	}
	if p.detail != "" {
		fields["detail"] = p.detail
	}
	if p.cause != nil {
		fields["cause"] = p.cause.Error()
	}
}

// errorLog passes what net/http has to say on to the log.
func (s *Server) errorLog() *log.Logger {
	return log.New(&logger.LibraryWriter{
		Log: s.config.Log,
	}, "", 0)
}
