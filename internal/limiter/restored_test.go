package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TestRestoredTableLacksLoans lets an instance spend loans of a former era, of which the table in the copy knows nothing and
// which were not reported to the new holder.
func TestRestoredTableLacksLoans(t *testing.T) {
	script := func(f *fleet) {
		f.mutedListed = true
		f.elect()
		go f.keepElecting()
		time.Sleep(time.Second)
		old := f.node(f.terms["d0"].name)
		n, next := f.node("d0-0"), f.node("d0-1")
		switch old {
		case n:
			n = f.node("d0-2")
		case next:
			next = f.node("d0-2")
		}
		for range 20 {
			n.request("team", 400, 0, 0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		n.keepLoan()
		old.kill()
		f.mu.Lock()
		f.entries = map[string]storer.Entry{}
		f.epoch = 1 << 24 // the first era after the restoration
		f.mu.Unlock()
		f.startTerm(next)
		time.Sleep(2400 * time.Millisecond)
		for range 20 {
			for _, other := range f.nodes {
				if other != old {
					go f.drain(other.name, 20)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	is := is.New(t)
	is.True(scenario(t, nil, 1500, 3000, script) <= tolerance)
	is.True(scenario(t, func(l *Limiter) { l.ignoreRestored = true }, 1500, 3000, script) > 100)
}
