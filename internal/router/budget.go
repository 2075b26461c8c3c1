package router

import "sync"

// budgetBound is the number of retries that can be saved up where the
// configuration does not say.
const budgetBound = 10

// budget allows retries as a fraction of requests.
type budget struct {
	fraction float64
	bound    func() float64

	mu    sync.Mutex
	saved float64
}

// newBudget returns a budget that starts with half of its bound: an instance
// that starts anew brings back at most that of the retries that its former start
// has used.
func newBudget(fraction float64, bound func() float64) *budget {
	if bound != nil {
		return &budget{
			fraction: fraction,
			bound:    bound,
			saved:    bound() / 2,
		}
	}
	return &budget{
		fraction: fraction,
		bound:    func() float64 { return budgetBound },
		saved:    budgetBound,
	}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.bound(), b.saved+b.fraction)
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
