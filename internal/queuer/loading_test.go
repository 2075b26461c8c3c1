package queuer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLoadTimeDoesNotLowerThroughput lets requests wait while a model is loaded, twice. Without Config.Loaded
// the first load lowers the measured throughput, so that requests during the second one are refused because
// their deadlines seem infeasible.
func TestLoadTimeDoesNotLowerThroughput(t *testing.T) {
	for _, withLoaded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var ready atomic.Bool
			config := Config{
				Pick:       func(*Ticket) (any, bool) { return 1, ready.Load() },
				MaxWaiting: 100,
				Now:        time.Now,
			}
			if withLoaded {
				config.Loaded = func(*Ticket) bool { return ready.Load() }
			}
			q := New(config)
			refused := 0
			for range 2 {
				ready.Store(false)
				done := make(chan error)
				for range 10 {
					go func() {
						_, err := q.Enter(context.Background(), Ticket{
							Team:     "crates",
							Model:    "ledger",
							Class:    Interactive,
							Tokens:   100,
							Deadline: time.Now().Add(5 * time.Second),
						})
						done <- err
					}()
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(time.Second)
				ready.Store(true)
				q.Dispatch("ledger")
				for range 10 {
					if <-done != nil {
						refused++
					}
				}
			}
			is.Equal(refused == 0, withLoaded)
		})
	}
}
