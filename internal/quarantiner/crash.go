package quarantiner

import (
	"context"
	"hash/fnv"
	"net/netip"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// The times after a broken connection at which the engine is checked. A crashed engine needs seconds to start again; one
// that only broke its answer off, or whose connections were reset, accepts new ones.
const (
	firstCheck  = 20 * time.Millisecond
	secondCheck = 300 * time.Millisecond
	// checkTimeout limits one check.
	checkTimeout = 300 * time.Millisecond
)

// crash is a possible crash of an engine.
type crash struct {
	quarantiner *Quarantiner
	engine      string
	address     netip.AddrPort
	at          time.Time

	// The mutex of the quarantiner guards the fields below.

	// attempts are the requests that the engine ran and that are not recorded yet.
	attempts []Attempt
	// confirmed is set once the engine was found to be down.
	confirmed bool
}

// run checks whether the engine is down, and records the crash if it is.
func (c *crash) run(ctx context.Context) {
	for _, pause := range []time.Duration{firstCheck, secondCheck} {
		if !waiter.Pause(ctx, pause) {
			return
		}
		if !c.down(ctx) {
			continue
		}
		q := c.quarantiner
		q.metrics.crashes.Inc()
		q.mu.Lock()
		c.confirmed = true
		q.record(c)
		q.mu.Unlock()
		return
	}
	c.forget()
}

// forget drops the crash, as the engine did not crash.
func (c *crash) forget() {
	q := c.quarantiner
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.crashes[c.engine] == c {
		delete(q.crashes, c.engine)
	}
}

func (c *crash) down(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return c.quarantiner.config.Down(ctx, c.address)
}

// hashName returns the hash of an engine's name, which is equal on all instances.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// formatPart formats the hash of a part's name for logs and dumps.
func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }
