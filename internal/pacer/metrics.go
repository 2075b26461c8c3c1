package pacer

import "github.com/VictoriaMetrics/metrics"

// pacerMetrics are the counters that a pacer exports.
type pacerMetrics struct {
	// statements counts the changes of limits that answers stated.
	statements *metrics.Counter
	// first and repeated count the requests sent to upstreams with a limit.
	first    *metrics.Counter
	repeated *metrics.Counter
}

func newPacerMetrics() pacerMetrics {
	return pacerMetrics{
		statements: metrics.GetOrCreateCounter("buckthorngap_pace_statements_total"),
		first:      metrics.GetOrCreateCounter(`buckthorngap_pace_sent_total{attempt="first"}`),
		repeated:   metrics.GetOrCreateCounter(`buckthorngap_pace_sent_total{attempt="repeated"}`),
	}
}
