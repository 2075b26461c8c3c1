package placer

import (
	"fmt"
	"sync"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// The limits of the weight store in simulations.
const (
	slotLimit = 4
	rateLimit = 3
)

// checker counts violations of the placement invariants and keeps the first of each kind.
type checker struct {
	mutex      sync.Mutex
	violations map[string]int
	first      map[string]string
}

func newChecker() *checker {
	return &checker{
		violations: map[string]int{},
		first:      map[string]string{},
	}
}

// violation counts a violation of an invariant.
func (c *checker) violation(invariant, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations[invariant]++
	if c.violations[invariant] == 1 {
		c.first[invariant] = fmt.Sprintf(format, arguments...)
	}
}

// total returns the number of violations of all invariants.
func (c *checker) total() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, count := range c.violations {
		total += count
	}
	return total
}

// memory checks that the copies of one engine fit into its memory.
func (c *checker) memory(engine string, total int64, copies []reporter.Copy) {
	used := int64(0)
	for _, loaded := range copies {
		used += loaded.Bytes
	}
	if used > total {
		c.violation("memory", "copies on %s use %d of %d bytes", engine, used, total)
	}
}

// pool checks the total size of the adapters beside one copy.
func (c *checker) pool(loaded string, used int) {
	if used > poolBytes {
		c.violation("pool", "adapters of %s use %d of %d bytes", loaded, used, poolBytes)
	}
}

// replicas checks the number of copies of one model in a domain, given by the orders that
// loaded them. One copy recorded as extra may exceed the limit.
func (c *checker) replicas(model string, limit int, orders []string, extra map[string]bool) {
	allowed := limit
	for _, order := range orders {
		if extra[order] {
			allowed = limit + 1
		}
	}
	if len(orders) > allowed {
		c.violation("replicas", "%s has %d copies, at most %d allowed: %v", model, len(orders), allowed, orders)
	}
}

// loads checks the number of concurrent loads from the weight store and of those started in
// the last second.
func (c *checker) loads(running, started int) {
	if running > slotLimit {
		c.violation("slots", "%d concurrent loads", running)
	}
	if started > rateLimit {
		c.violation("rate", "%d loads started within a second", started)
	}
}

// unserved records demand that was not served although all faults had ended.
func (c *checker) unserved(model string) { c.violation("unserved", "%s was never loaded", model) }
