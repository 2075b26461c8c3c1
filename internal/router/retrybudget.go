package router

import "sync"

// defaultRetryCapacity is the default capacity of a retry budget.
const defaultRetryCapacity = 10

// retryBudget is a token bucket that limits retries to a fraction of requests: each
// request adds a fraction of a token, each retry takes a whole one.
type retryBudget struct {
	// fraction is what each request adds to the tokens, up to the capacity.
	fraction float64
	capacity func() float64

	mu     sync.Mutex
	tokens float64
}

// newRetryBudget returns a budget that starts half full, so that an instance that
// restarts regains at most half of the capacity, even if it had used up its retries
// before. If capacity is nil, the budget has the default capacity and starts full.
func newRetryBudget(fraction float64, capacity func() float64) *retryBudget {
	if capacity != nil {
		return &retryBudget{
			fraction: fraction,
			capacity: capacity,
			tokens:   capacity() / 2,
		}
	}
	return &retryBudget{
		fraction: fraction,
		capacity: func() float64 { return defaultRetryCapacity },
		tokens:   defaultRetryCapacity,
	}
}

// deposit credits the budget for one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity(), b.tokens+b.fraction)
}

// take spends one retry and reports whether there was one left.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
