package server

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// event logs one decision about a routed request. Other requests log no events.
func (e *exchange) event(name string, fields logrus.Fields) {
	if e.server.config.Log == nil || !e.routed {
		return
	}
	fields["request"] = e.id
	e.server.config.Log.WithFields(fields).Info(name)
}

// logReceived logs the arrival of the request.
func (e *exchange) logReceived(path string) {
	e.event("request.received", logrus.Fields{
		"method": e.request.Method,
		"host":   e.request.Host,
		"path":   path,
		"length": e.request.ContentLength,
		"remote": e.request.RemoteAddr,
	})
}

// logRouted logs which route matched, or that none did.
func (e *exchange) logRouted(matched bool) {
	e.event("request.routed", logrus.Fields{
		"found":    matched,
		"route":    e.route.Name,
		"revision": e.server.config.Snapshot().Revision(),
	})
}

// logResolved logs what the request needs of an upstream and which team its key belongs to.
func (e *exchange) logResolved() {
	e.event("request.aimed", logrus.Fields{
		"team":     e.key.Team,
		"service":  e.service.Name,
		"model":    e.facts.Model,
		"adapter":  e.facts.Adapter,
		"prompt":   e.facts.PromptTokens,
		"answer":   e.facts.AnswerTokens,
		"bytes":    len(e.body),
		"parts":    formatParts(e.recognized.Parts),
		"whole":    strconv.FormatUint(e.recognized.Whole, 16),
		"versions": e.need.Versions,
		"resumes":  e.facts.Resumes,
		"left":     e.timeLeft(),
	})
}

// formatParts formats the names of prompt parts for the log.
func formatParts(names []uint64) string {
	formatted := make([]string, len(names))
	for i, name := range names {
		formatted[i] = strconv.FormatUint(name, 16)
	}
	return strings.Join(formatted, ",")
}

// logReserved logs how many tokens were reserved from the team's limit, or why the reservation failed.
func (e *exchange) logReserved(began time.Time, err error) {
	fields := logrus.Fields{
		"team":   e.key.Team,
		"tokens": e.tokens,
		"waited": e.elapsedSince(began),
	}
	if err != nil {
		fields["error"] = err
	}
	e.event("request.charged", fields)
}

// logPlaced logs the chosen upstream and the load figures behind the choice.
func (e *exchange) logPlaced(began time.Time) {
	fields := logrus.Fields{
		"upstream": e.choice.Upstream,
		"busy":     e.choice.Busy,
		"slots":    e.choice.Slots,
		"unread":   e.choice.UncachedTokens,
		"missing":  e.choice.AdapterMissing,
		"waited":   e.elapsedSince(began),
	}
	if expected := e.choice.Expected; expected.Pace > 0 {
		fields["pace"] = round(expected.Pace)
		fields["others"] = round(expected.Others)
	}
	e.event("request.placed", fields)
}

// round rounds a figure for the log.
func round(figure float64) float64 { return math.Round(100*figure) / 100 }

// logNotPlaced logs why the request got no upstream: how many upstreams were unusable for each reason.
func (e *exchange) logNotPlaced(began time.Time) {
	if e.server.config.CountCandidates == nil {
		return
	}
	state := e.server.config.CountCandidates(e.need)
	e.event("request.waited", logrus.Fields{
		"holding":  state.Total,
		"lacking":  state.WithoutAdapter,
		"full":     state.Full,
		"resting":  state.CircuitOpen,
		"paused":   state.Paused,
		"limited":  state.Limited,
		"excluded": state.Excluded,
		"waited":   e.elapsedSince(began),
	})
}

// elapsedSince returns the time since began, in whole milliseconds.
func (e *exchange) elapsedSince(began time.Time) time.Duration {
	return e.server.config.Now().Sub(began).Round(time.Millisecond)
}

// timeLeft returns the time until the deadline, in whole milliseconds.
func (e *exchange) timeLeft() time.Duration {
	return e.deadline.Sub(e.server.config.Now()).Round(time.Millisecond)
}
