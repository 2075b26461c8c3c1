package limiter

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/verifier/seeder"
)

const (
	historyCount = 200
	tolerance    = 1e-6
	// longestPause is longer than any pause that a history causes.
	longestPause = 13 * time.Second
)

// TestHistories runs seeded histories with faults and audits the spending in every time window.
func TestHistories(t *testing.T) {
	count := historyCount
	if testing.Short() {
		count = 20
	}
	var admitted atomic.Int64
	t.Cleanup(func() {
		is.New(t).True(admitted.Load() > int64(400*count)) // the histories must not be empty
	})
	for seed := range seeder.Seeds(count) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := runHistory(uint64(seed), 20*time.Second, nil)
				_, audit := f.largestExcess()
				is.True(audit.Over <= tolerance)
				admitted.Add(int64(f.admitted))
			})
		})
	}
}

// runHistory runs two domains of three instances with random traffic and faults.
func runHistory(seed uint64, length time.Duration, disable func(*Limiter)) *fleet {
	f := newFleet(seed, 0, 0, disable)
	f.beforeSpend = f.spendHook
	f.grow(2, 3)
	f.faulty = true
	f.setTeam("small", 300, 2000)
	f.setTeam("large", 1000, 8000)
	for _, n := range f.nodes {
		go f.traffic(n.name, "small", 40)
		go f.traffic(n.name, "large", 40)
	}
	end := time.Now().Add(length)
	for step := 0; time.Now().Before(end); step++ {
		f.elect()
		if step%5 == 0 {
			f.injectFault()
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.stop()
	return f
}

// spendHook returns a hook that occasionally freezes the process between the check for a pause and the
// spending.
func (f *fleet) spendHook(n *node) func() {
	return func() {
		if f.random(3000) == 0 {
			n.freeze()
			go func() {
				time.Sleep(time.Duration(500+f.random(12000)) * time.Millisecond)
				n.thaw()
			}()
		}
		n.now()
	}
}

// traffic sends requests of a team to the current instance of a name.
func (f *fleet) traffic(name, team string, gap int) {
	for !f.ended() {
		time.Sleep(time.Duration(1+f.random(2*gap)) * time.Millisecond)
		n := f.node(name)
		n.mu.Lock()
		dead := n.dead
		n.mu.Unlock()
		if dead {
			continue
		}
		tokens := int64(10 + f.random(150))
		go n.request(team, tokens, int64(f.random(int(tokens)+1)), time.Duration(f.random(2000))*time.Millisecond)
	}
}

// injectFault causes one random fault, or none.
func (f *fleet) injectFault() {
	domain := f.domains[f.random(len(f.domains))]
	n := f.node(fmt.Sprint(domain, "-", f.random(3)))
	switch f.random(8) {
	case 0:
		if !n.kill() {
			return
		}
		go func() {
			time.Sleep(time.Duration(f.random(8000)) * time.Millisecond)
			if f.ended() {
				return
			}
			f.boot(n.name, n.domain)
		}()
	case 1:
		n.freeze()
		go func() {
			time.Sleep(time.Duration(f.random(12000)) * time.Millisecond)
			n.thaw()
		}()
	case 2:
		f.mu.Lock()
		f.outage = !f.outage
		f.mu.Unlock()
	case 3:
		f.setTeam("small", float64(100+f.random(600)), int64(1000+f.random(4000)))
	case 4:
		f.mu.Lock()
		f.faulty = !f.faulty
		f.mu.Unlock()
	}
}
