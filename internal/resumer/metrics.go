package resumer

import "github.com/VictoriaMetrics/metrics"

// resumerMetrics are the counters that a resumer exports.
type resumerMetrics struct {
	// resumed and refused count the streams that went on and those that did not.
	resumed *metrics.Counter
	refused *metrics.Counter
	// unanswered counts the questions that other instances did not answer.
	unanswered *metrics.Counter
	// stored counts the streams that this instance stored.
	stored *metrics.Counter
}

func newResumerMetrics() resumerMetrics {
	return resumerMetrics{
		resumed:    metrics.GetOrCreateCounter("buckthorngap_streams_resumed_total"),
		refused:    metrics.GetOrCreateCounter("buckthorngap_streams_unresumed_total"),
		unanswered: metrics.GetOrCreateCounter("buckthorngap_streams_unanswered_total"),
		stored:     metrics.GetOrCreateCounter("buckthorngap_streams_stored_total"),
	}
}
