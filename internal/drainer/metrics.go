package drainer

import "github.com/VictoriaMetrics/metrics"

// drainerMetrics are the counters that a drainer exports.
type drainerMetrics struct {
	// answered and told count the departures learned from answers and from other instances.
	answered *metrics.Counter
	told     *metrics.Counter
}

func newDrainerMetrics() drainerMetrics {
	return drainerMetrics{
		answered: metrics.GetOrCreateCounter(`buckthorngap_departures_total{from="answer"}`),
		told:     metrics.GetOrCreateCounter(`buckthorngap_departures_total{from="peer"}`),
	}
}
