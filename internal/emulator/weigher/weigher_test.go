package weigher

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fetchAll starts n fetches of 1000 bytes at the given spacing and returns the
// duration of the last one.
func fetchAll(w *Weigher, n int, spacing time.Duration) time.Duration {
	var group sync.WaitGroup
	var last time.Duration
	for i := range n {
		time.Sleep(spacing)
		group.Go(func() {
			start := time.Now()
			if w.Fetch(context.Background(), "c", 1000) == nil && i == n-1 {
				last = time.Since(start)
			}
		})
	}
	group.Wait()
	return last
}

func TestFetchSlowsBeyondSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		config := Config{
			Speed:            100,
			Slots:            4,
			FetchesPerSecond: 3,
		}
		is.Equal(fetchAll(New(config), 4, 400*time.Millisecond), 10*time.Second)
		overloaded := New(config)
		is.True(fetchAll(overloaded, 8, 400*time.Millisecond) > 14*time.Second)
		is.Equal(overloaded.Journal().Peak, 8)
		is.Equal(overloaded.Journal().Refused, 0)
	})
}

func TestFetchRefusedAboveRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(Config{
			Speed:            1000,
			Slots:            4,
			FetchesPerSecond: 3,
		})
		fetchAll(w, 3, 0)
		var exceeded *RateExceeded
		// The fetches took a second; moving their starts to the present puts them into the rate window.
		w.mutex.Lock()
		w.journal.Fetches[0].At = time.Now()
		w.journal.Fetches[1].At = time.Now()
		w.journal.Fetches[2].At = time.Now()
		w.mutex.Unlock()
		is.True(errors.As(w.Fetch(context.Background(), "d", 1), &exceeded))
		is.Equal(w.Journal().Refused, 1)
	})
}

func TestSlowFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(Config{
			Speed:            100,
			Slots:            4,
			FetchesPerSecond: 3,
		})
		w.Slow(2)
		is.Equal(fetchAll(w, 1, 0), 20*time.Second)
	})
}
