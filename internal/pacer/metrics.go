package pacer

import "github.com/VictoriaMetrics/metrics"

// pacerMetrics are the counters that a pacer exports.
type pacerMetrics struct {
	// statements counts the changes of limits.
	statements *metrics.Counter
	// cold counts the engines that became cold.
	cold *metrics.Counter
	// first and repeated count the requests sent to upstreams with a limit.
	first    *metrics.Counter
	repeated *metrics.Counter
	// denied counts the times that a limit left no room for a request.
	denied *metrics.Counter
	// asked and unanswered count the requests for permits, granted the permits that this instance has
	// granted as the holder of a duty.
	asked      *metrics.Counter
	unanswered *metrics.Counter
	granted    *metrics.Counter
}

func newPacerMetrics() pacerMetrics {
	return pacerMetrics{
		statements: metrics.GetOrCreateCounter("buckthorngap_pace_statements_total"),
		cold:       metrics.GetOrCreateCounter("buckthorngap_pace_cold_total"),
		first:      metrics.GetOrCreateCounter(`buckthorngap_pace_sent_total{attempt="first"}`),
		repeated:   metrics.GetOrCreateCounter(`buckthorngap_pace_sent_total{attempt="repeated"}`),
		denied:     metrics.GetOrCreateCounter("buckthorngap_pace_denied_total"),
		asked:      metrics.GetOrCreateCounter("buckthorngap_pace_asked_total"),
		unanswered: metrics.GetOrCreateCounter("buckthorngap_pace_unanswered_total"),
		granted:    metrics.GetOrCreateCounter("buckthorngap_pace_granted_total"),
	}
}
