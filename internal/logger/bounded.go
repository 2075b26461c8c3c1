package logger

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queued is the number of lines that may wait to be written: those of some
	// seconds while whoever reads them stands still.
	queued = 2048
	// DefaultLines is the number of lines a second that are written on average.
	DefaultLines = 500
	// burstSeconds is how many seconds of lines may come at once.
	burstSeconds = 4
)

// Bounded writes lines without ever blocking: what comes too fast, or while
// the output stands still, is dropped and counted.
type Bounded struct {
	output  io.Writer
	lines   chan []byte
	ended   chan struct{}
	now     func() time.Time
	dropped *metrics.Counter
	rate    float64

	mu     sync.Mutex
	closed bool
	saved  float64
	at     time.Time
}

// BoundedConfig is what a Bounded needs.
type BoundedConfig struct {
	// Output receives the lines.
	Output io.Writer
	// Lines is the number of lines a second on average; zero means DefaultLines.
	Lines float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// NewBounded returns a Bounded that writes until Close.
func NewBounded(config BoundedConfig) *Bounded {
	if config.Lines <= 0 {
		config.Lines = DefaultLines
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	b := &Bounded{
		output:  config.Output,
		lines:   make(chan []byte, queued),
		ended:   make(chan struct{}),
		now:     config.Now,
		dropped: metrics.GetOrCreateCounter(`buckthorngap_log_dropped_total`),
		rate:    config.Lines,
		saved:   config.Lines * burstSeconds,
		at:      config.Now(),
	}
	go b.run()
	return b
}

// Write implements io.Writer. It takes the line or drops it, and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.allow() {
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

// allow takes one line of the rate. The lock must be held.
func (b *Bounded) allow() bool {
	now := b.now()
	b.saved = min(b.rate*burstSeconds, b.saved+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Bounded) run() {
	defer close(b.ended)
	for line := range b.lines {
		if _, err := b.output.Write(line); err != nil {
			b.dropped.Inc()
		}
	}
}

// Close returns once all that waits is written. What comes later is dropped.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.ended
}
