package logger

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queueLength is the maximum number of lines that wait to be written, enough for the reader of the output to stall
	// for a few seconds.
	queueLength = 2048
	// DefaultLinesPerSecond is the default average rate, in lines per second.
	DefaultLinesPerSecond = 500
	// burstSeconds is the size of the token bucket: lines of this many seconds at the average rate may come at once.
	burstSeconds = 4
)

// BoundedWriter is an io.Writer that never blocks: it queues lines for a goroutine that writes them to the output. Lines
// above the rate of a token bucket, and lines that find the queue full because the output is stalled, are dropped and
// counted.
type BoundedWriter struct {
	output  io.Writer
	lines   chan []byte
	done    chan struct{}
	now     func() time.Time
	dropped *metrics.Counter
	rate    float64

	mu     sync.Mutex
	closed bool
	// tokens is the number of lines that the token bucket still admits, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// BoundedWriterConfig configures a BoundedWriter.
type BoundedWriterConfig struct {
	// Output receives the lines.
	Output io.Writer
	// LinesPerSecond is the average rate in lines per second; zero means DefaultLinesPerSecond.
	LinesPerSecond float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// NewBoundedWriter returns a BoundedWriter and starts its goroutine, which writes until Close.
func NewBoundedWriter(config BoundedWriterConfig) *BoundedWriter {
	if config.LinesPerSecond <= 0 {
		config.LinesPerSecond = DefaultLinesPerSecond
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	b := &BoundedWriter{
		output:     config.Output,
		lines:      make(chan []byte, queueLength),
		done:       make(chan struct{}),
		now:        config.Now,
		dropped:    metrics.GetOrCreateCounter(`buckthorngap_log_dropped_total`),
		rate:       config.LinesPerSecond,
		tokens:     config.LinesPerSecond * burstSeconds,
		refilledAt: config.Now(),
	}
	go b.run()
	return b
}

// Write implements io.Writer. It queues a copy of the line or drops it, and never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.takeToken() {
		b.dropped.Inc()
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Inc()
	}
	return len(line), nil
}

// takeToken refills the token bucket and takes the token for one line; it reports whether there was one. The caller must
// hold the mutex.
func (b *BoundedWriter) takeToken() bool {
	now := b.now()
	b.tokens = min(b.rate*burstSeconds, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// run writes the queued lines until Close; lines whose write fails count as dropped.
func (b *BoundedWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		if _, err := b.output.Write(line); err != nil {
			b.dropped.Inc()
		}
	}
}

// Close waits until all queued lines are written. Lines written later are dropped.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}
