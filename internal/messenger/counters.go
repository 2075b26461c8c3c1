package messenger

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// counters count the messages and connections of one messenger. The process-wide metrics are
// updated with them.
type counters struct {
	sent      atomic.Uint64
	received  atomic.Uint64
	refused   atomic.Uint64
	failed    atomic.Uint64
	dialed    atomic.Uint64
	accepted  atomic.Uint64
	sentBytes atomic.Uint64
	readBytes atomic.Uint64
}

func (c *counters) countSent(topic string, bytes int) {
	c.sent.Add(1)
	c.sentBytes.Add(uint64(bytes))
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorngap_messages_sent_total{topic=%q}`, topic)).Inc()
	metrics.GetOrCreateCounter(`buckthorngap_message_bytes_sent_total`).Add(bytes)
}

func (c *counters) countReceived(bytes int) {
	c.received.Add(1)
	c.readBytes.Add(uint64(bytes))
	metrics.GetOrCreateCounter(`buckthorngap_messages_received_total`).Inc()
	metrics.GetOrCreateCounter(`buckthorngap_message_bytes_received_total`).Add(bytes)
}

func (c *counters) countRefused(code Code) {
	c.refused.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`buckthorngap_messages_refused_total{code=%q}`, code)).Inc()
}

func (c *counters) countFailed() {
	c.failed.Add(1)
	metrics.GetOrCreateCounter(`buckthorngap_calls_failed_total`).Inc()
}
