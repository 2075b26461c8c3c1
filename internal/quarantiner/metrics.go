package quarantiner

import "github.com/VictoriaMetrics/metrics"

// quarantineMetrics are the counters that a quarantiner exports.
type quarantineMetrics struct {
	// crashes counts the crashes of engines that this instance confirmed.
	crashes *metrics.Counter
	// quarantined counts the quarantines that began here.
	quarantined *metrics.Counter
	// unsent counts the messages that did not reach an instance.
	unsent *metrics.Counter
	// dropped counts the crashes and messages that were dropped because too many were waiting.
	dropped *metrics.Counter
}

func newQuarantineMetrics() quarantineMetrics {
	return quarantineMetrics{
		crashes:     metrics.GetOrCreateCounter("buckthorngap_quarantine_crashes_total"),
		quarantined: metrics.GetOrCreateCounter("buckthorngap_quarantine_begun_total"),
		unsent:      metrics.GetOrCreateCounter("buckthorngap_quarantine_unsent_total"),
		dropped:     metrics.GetOrCreateCounter("buckthorngap_quarantine_dropped_total"),
	}
}
