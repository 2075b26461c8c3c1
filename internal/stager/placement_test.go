package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newResident(checkpoint string, rate float64, copies int) resident {
	return resident{
		checkpoint: checkpoint,
		bytes:      70,
		rate:       rate,
		copies:     copies,
	}
}

// TestOverloadedModelGetsAnotherCopy checks that another copy is added for a model when demand moves
// to its only copy, and not while its copies can serve the demand.
func TestOverloadedModelGetsAnotherCopy(t *testing.T) {
	is := is.New(t)
	rates := map[string]float64{
		"hot":  9000,
		"warm": 3000,
		"cold": 10,
	}
	demands := overloaded(rates, map[string]int{
		"hot":  1,
		"warm": 3,
		"cold": 1,
	}, 6)
	is.Equal(len(demands), 1)
	is.Equal(demands[0].checkpoint, "hot")
	is.Equal(demands[0].benefit, 4500.0) // the load that another copy takes off the first
	is.Equal(len(overloaded(rates, map[string]int{
		"hot":  6,
		"warm": 3,
		"cold": 1,
	}, 6)), 0)
	is.Equal(len(overloaded(map[string]float64{
		"lone": 9000,
	}, map[string]int{}, 6)), 0) // the first copy is loaded on request instead
}

func TestFurtherCopyEvictsNoOnlyCopy(t *testing.T) {
	is := is.New(t)
	candidates := []candidate{
		{
			engine: "sole",
			loaded: []resident{newResident("a", 1, 1)},
		},
		{
			engine: "shared",
			loaded: []resident{newResident("b", 100, 2)},
		},
	}
	pinModelsWithFewCopies(candidates, 1) // a request for an evicted model would wait for its load
	chosen, ok := choosePlacement(candidates, 70, 1000)
	is.True(ok)
	is.Equal(chosen.candidate.engine, "shared")
	_, ok = choosePlacement(candidates[:1], 70, 1000)
	is.True(!ok)
}

func TestModelsWithoutCopyGetOne(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c", "d"}
	rates := map[string]float64{
		"a": 4000,
		"c": 10,
	}
	copies := map[string]int{
		"a": 3,
	}
	is.Equal(withoutCopy(models, rates, copies), []string{"c", "b", "d"})
	is.Equal(firstCopyBenefit(models, rates), 4010.0/16)
	is.Equal(firstCopyBenefit(nil, nil), 0.0)
}

func TestModelWithLeastDemandIsEvicted(t *testing.T) {
	is := is.New(t)
	candidates := []candidate{
		{
			engine: "busy",
			loaded: []resident{newResident("a", 5000, 1), newResident("b", 3000, 1)},
		},
		{
			engine: "shared",
			loaded: []resident{newResident("a", 5000, 1), newResident("c", 3000, 9)},
		},
	}
	chosen, ok := choosePlacement(candidates, 70, 1000)
	is.True(ok)
	is.Equal(chosen.candidate.engine, "shared") // the requests of one copy go to eight others
	is.Equal(chosen.victims[0].checkpoint, "c")
	_, ok = choosePlacement(candidates, 70, 400)
	is.True(!ok) // the demand does not justify the eviction
	_, ok = choosePlacement(candidates, 500, 100000)
	is.True(!ok) // no engine has so much memory
}

// TestOnlyCopiesStayWhileNoDemandIsKnown checks that a model that is the only copy is not evicted while one with more copies
// could be, although nothing has been asked for yet.
func TestOnlyCopiesStayWhileNoDemandIsKnown(t *testing.T) {
	for range 20 {
		is := is.New(t)
		chosen, ok := choosePlacement([]candidate{
			{
				engine: "only",
				loaded: []resident{newResident("a", 0, 1), newResident("b", 0, 1)},
			},
			{
				engine: "both",
				loaded: []resident{newResident("c", 0, 1), newResident("d", 0, 3), newResident("e", 0, 2)},
			},
			{
				engine: "none",
				loaded: []resident{newResident("f", 0, 1)},
			},
		}, 70, 1)
		is.True(ok)
		is.Equal(chosen.candidate.engine, "both")
		is.Equal(len(chosen.victims), 1)
		is.Equal(chosen.victims[0].checkpoint, "d")
	}
}

func TestFreeMemoryAndLocalWeightsArePreferred(t *testing.T) {
	is := is.New(t)
	candidates := []candidate{
		{
			engine: "remote",
			free:   70,
			load:   6 * time.Second,
			remote: true,
		},
		{
			engine: "disk",
			free:   70,
			load:   time.Second,
		},
		{
			engine: "idle",
			load:   100 * time.Millisecond,
			loaded: []resident{newResident("a", 500, 1)},
		},
	}
	chosen, ok := choosePlacement(candidates, 70, 10000)
	is.True(ok)
	is.Equal(chosen.candidate.engine, "disk")
	is.Equal(len(chosen.victims), 0)
}

func TestPinnedModelIsNotEvicted(t *testing.T) {
	is := is.New(t)
	pinned := newResident("a", 0, 1)
	pinned.pinned = true
	_, ok := choosePlacement([]candidate{
		{
			loaded: []resident{pinned},
		},
	}, 70, 1)
	is.True(!ok)
}

// TestLoadsStayBelowTheStoresRate checks the loads that all duties together start against the
// bound of the users' specification: rate x window x 1.1 + 3.
func TestLoadsStayBelowTheStoresRate(t *testing.T) {
	is := is.New(t)
	const perSecond, duties, window = 3.1, 6, 5 * time.Second
	now := time.Unix(1000, 0)
	var limiters []*loadLimiter
	for range duties {
		limiters = append(limiters, newLoadLimiter(now, perSecond, duties))
	}
	var started []time.Time
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		if now.Unix()%20 < 10 {
			continue // idle, so that the limiters accumulate their burst
		}
		for _, l := range limiters {
			if l.tryStart(now, now) {
				started = append(started, now)
				l.finish()
			}
		}
	}
	bound := perSecond*window.Seconds()*1.1 + 3
	for i := range started {
		count := 0
		for _, other := range started[i:] {
			if other.Sub(started[i]) < window {
				count++
			}
		}
		is.True(float64(count) <= bound)
	}
	is.True(len(started) > 30)
	is.True(limiters[0].nextStart(now).After(now))
}
