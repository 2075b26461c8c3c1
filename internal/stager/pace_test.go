package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLoadsSpareACrowdedStore plays duties that always want loads from a store
// that carries three at once at full speed, and more in proportion longer.
func TestLoadsSpareACrowdedStore(t *testing.T) {
	is := is.New(t)
	const (
		duties, atOnce  = 6, 3.0
		load, tick, day = 8 * time.Second, 10 * time.Millisecond, 5 * time.Minute
	)
	type loading struct {
		pace  *pace
		left  time.Duration
		began time.Time
	}
	now := time.Unix(1000, 0)
	var paces []*pace
	for range duties {
		paces = append(paces, newPace(now, 30, duties))
	}
	var under []*loading
	done, worst := 0, time.Duration(0)
	for end := now.Add(day); now.Before(end); now = now.Add(tick) {
		for _, one := range paces {
			if one.take(now, now.Add(load)) {
				under = append(under, &loading{
					pace:  one,
					left:  load,
					began: now,
				})
			}
		}
		step := time.Duration(float64(tick) * min(1, atOnce/float64(max(1, len(under)))))
		kept := under[:0]
		for _, one := range under {
			if one.left -= step; one.left > 0 {
				kept = append(kept, one)
				continue
			}
			one.pace.done()
			done++
			worst = max(worst, now.Sub(one.began))
		}
		under = kept
	}
	most := atOnce * day.Seconds() / load.Seconds()
	t.Logf("%d loads of %.0f that the store allows, the longest %v", done, most, worst)
	is.True(worst <= load*duties/atOnce) // each shares the store with one of each other duty
	is.True(float64(done) > 0.85*most)
}
