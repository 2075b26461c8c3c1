package limiter

import "github.com/VictoriaMetrics/metrics"

// limiterMetrics are the counters that a limiter exports.
type limiterMetrics struct {
	admitted      *metrics.Counter
	refused       *metrics.Counter
	demandsLost   *metrics.Counter
	suspended     *metrics.Counter
	demandsServed *metrics.Counter
}

func newLimiterMetrics() limiterMetrics {
	return limiterMetrics{
		admitted:      metrics.GetOrCreateCounter("buckthorngap_limit_admitted_total"),
		refused:       metrics.GetOrCreateCounter("buckthorngap_limit_refused_total"),
		demandsLost:   metrics.GetOrCreateCounter("buckthorngap_limit_demands_lost_total"),
		suspended:     metrics.GetOrCreateCounter("buckthorngap_limit_suspended_total"),
		demandsServed: metrics.GetOrCreateCounter("buckthorngap_limit_demands_served_total"),
	}
}
