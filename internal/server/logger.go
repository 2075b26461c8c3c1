package server

import (
	"log"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/logger"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// logRequest logs the finished request and updates the metrics. An unknown outcome is logged as a warning.
func (e *exchange) logRequest() {
	if e.outcome == "" {
		e.outcome = e.defaultOutcome()
	}
	elapsed := e.server.config.Now().Sub(e.started)
	metrics.GetOrCreateCounter(`buckthorngap_requests_total{outcome="` + string(e.outcome) + `",code="` + string(e.code) + `"}`).Inc()
	metrics.GetOrCreateHistogram(`buckthorngap_request_seconds`).Update(elapsed.Seconds())
	if !e.result.FirstTokenAt.IsZero() {
		metrics.GetOrCreateHistogram(`buckthorngap_first_token_seconds`).Update(e.result.FirstTokenAt.Sub(e.started).Seconds())
	}
	if e.server.config.Log == nil {
		return
	}
	fields := logrus.Fields{
		"request": e.id,
		"team":    e.key.Team,
		"outcome": e.outcome,
		"code":    e.code,
		"status":  e.status,
		"tokens":  e.result.PromptTokens + e.result.GeneratedTokens,
		"seconds": elapsed.Seconds(),
	}
	e.addFields(fields)
	line := e.server.config.Log.WithFields(fields)
	if e.outcome == refuser.Unknown {
		line.Warn("request")
		return
	}
	line.Info("request")
}

// addFields adds the log fields that only some requests have.
func (e *exchange) addFields(fields logrus.Fields) {
	if e.model.Name != "" {
		fields["model"] = e.model.Name
		fields["version"] = e.version.Name
	}
	if e.adapter.Name != "" {
		fields["adapter"] = e.adapter.Name
	}
	if e.service.Name != "" {
		fields["service"] = e.service.Name
	}
	if e.result.Upstream != "" {
		fields["upstream"] = e.result.Upstream
		fields["attempts"] = e.result.Attempts
	}
	if e.routed {
		e.addRouteFields(fields)
	}
	if e.result.Resumes > 0 {
		fields["resumes"] = e.result.Resumes
	}
	if e.detail != "" {
		fields["detail"] = e.detail
	}
	if e.cause != nil {
		fields["cause"] = e.cause.Error()
	}
}

// errorLog returns a logger that writes the errors of net/http to the server's log.
func (s *Server) errorLog() *log.Logger {
	return log.New(&logger.LibraryWriter{
		Log: s.config.Log,
	}, "", 0)
}
