package stager

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func held(checkpoint string, rate float64, copies int) tenant {
	return tenant{
		checkpoint: checkpoint,
		bytes:      70,
		rate:       rate,
		copies:     copies,
	}
}

// TestCopiesFollowDemand plays the shift of demand to a model with one copy.
func TestCopiesFollowDemand(t *testing.T) {
	is := is.New(t)
	rates := map[string]float64{
		"hot":  9000,
		"warm": 3000,
		"cold": 10,
	}
	wanted := wanting(rates, map[string]int{
		"hot":  1,
		"warm": 3,
		"cold": 1,
	}, 6)
	is.Equal(len(wanted), 1)
	is.Equal(wanted[0].checkpoint, "hot")
	is.Equal(wanted[0].worth, 4500.0) // what another copy takes off the first
	is.Equal(len(wanting(rates, map[string]int{
		"hot":  6,
		"warm": 3,
		"cold": 1,
	}, 6)), 0)
	is.Equal(len(wanting(map[string]float64{
		"lone": 9000,
	}, map[string]int{}, 6)), 0) // no copy at all is asked for by requests
}

func TestFurtherCopyReplacesNoSoleOne(t *testing.T) {
	is := is.New(t)
	sites := []site{
		{
			engine: "sole",
			held:   []tenant{held("a", 1, 1)},
		},
		{
			engine: "shared",
			held:   []tenant{held("b", 100, 2)},
		},
	}
	keepFew(sites, 1) // a request for a model that is gone waits for its load
	chosen, ok := choose(sites, 70, 1000)
	is.True(ok)
	is.Equal(chosen.site.engine, "shared")
	_, ok = choose(sites[:1], 70, 1000)
	is.True(!ok)
}

func TestModelsWithoutCopyAreCovered(t *testing.T) {
	is := is.New(t)
	models := []string{"a", "b", "c", "d"}
	rates := map[string]float64{
		"a": 4000,
		"c": 10,
	}
	copies := map[string]int{
		"a": 3,
	}
	is.Equal(uncovered(models, rates, copies), []string{"c", "b", "d"})
	is.Equal(coverWorth(models, rates), 4010.0/16)
	is.Equal(coverWorth(nil, nil), 0.0)
}

func TestLeastDemandMakesWay(t *testing.T) {
	is := is.New(t)
	sites := []site{
		{
			engine: "busy",
			held:   []tenant{held("a", 5000, 1), held("b", 3000, 1)},
		},
		{
			engine: "shared",
			held:   []tenant{held("a", 5000, 1), held("c", 3000, 9)},
		},
	}
	chosen, ok := choose(sites, 70, 1000)
	is.True(ok)
	is.Equal(chosen.site.engine, "shared") // nine copies take over from one
	is.Equal(chosen.victims[0].checkpoint, "c")
	_, ok = choose(sites, 70, 400)
	is.True(!ok) // the demand is not worth the swap
	_, ok = choose(sites, 500, 100000)
	is.True(!ok) // nothing makes so much room
}

func TestFreeMemoryAndNearWeightsGoFirst(t *testing.T) {
	is := is.New(t)
	sites := []site{
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
			held:   []tenant{held("a", 500, 1)},
		},
	}
	chosen, ok := choose(sites, 70, 10000)
	is.True(ok)
	is.Equal(chosen.site.engine, "disk")
	is.Equal(len(chosen.victims), 0)
}

func TestFixedModelsStay(t *testing.T) {
	is := is.New(t)
	fixed := held("a", 0, 1)
	fixed.fixed = true
	_, ok := choose([]site{
		{
			held: []tenant{fixed},
		},
	}, 70, 1)
	is.True(!ok)
}

// TestLoadsStayBelowTheStoresRate counts the loads that all duties together
// begin, against the bound of the users' rules: rate x window x 1.1 + 3.
func TestLoadsStayBelowTheStoresRate(t *testing.T) {
	is := is.New(t)
	const perSecond, duties, window = 3.1, 6, 5 * time.Second
	now := time.Unix(1000, 0)
	var paces []*pace
	for range duties {
		paces = append(paces, newPace(now, perSecond, duties))
	}
	var begun []time.Time
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		if now.Unix()%20 < 10 {
			continue // the duties save up as much as they may
		}
		for _, one := range paces {
			if one.take(now, now) {
				begun = append(begun, now)
				one.done()
			}
		}
	}
	bound := perSecond*window.Seconds()*1.1 + 3
	for i := range begun {
		count := 0
		for _, other := range begun[i:] {
			if other.Sub(begun[i]) < window {
				count++
			}
		}
		is.True(float64(count) <= bound)
	}
	is.True(len(begun) > 30)
	is.True(paces[0].next(now).After(now))
}
