package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// loadsInOutage reports whether a model is loaded while the store is unreachable, with the
// recorded allowances or without any.
func loadsInOutage(t *testing.T, keepAllowances bool) (loaded bool) {
	runScenario(t, disabledProtections{}, func(sim *simulation, d *fakeDomain) {
		sim.store.setFaults(true, false)
		time.Sleep(time.Second)
		if !keepAllowances {
			g := d.instances[0].placer.groups[0]
			g.mutex.Lock()
			g.savedLedger = nil
			g.mutex.Unlock()
		}
		d.request("m1", ClassInteractive)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, engine := range d.engines {
				loaded = loaded || engine.ready("m1:v1")
			}
		}
		sim.store.setFaults(false, false)
	})
	return loaded
}

func TestLoadsContinueWithinAllowances(t *testing.T) {
	is := is.New(t)
	is.True(loadsInOutage(t, true))
	is.Equal(loadsInOutage(t, false), false)
}

func TestReplicaSharesSumToReplicas(t *testing.T) {
	is := is.New(t)
	for groups := 1; groups <= 5; groups++ {
		model, _ := fakeCatalog(nil, nil).Model("m0")
		for model.Replicas = range 7 {
			sum := 0
			for index := range groups {
				g := &group{
					index: index,
					config: &Config{
						DutyCount: groups,
					},
				}
				sum += g.replicas(model)
			}
			is.Equal(sum, model.Replicas)
		}
	}
}

func TestFloatingSlotIsOwnedByOneGroup(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	document := &slotsDocument{
		Slots: make([]floatingSlot, 1),
	}
	document.Slots[0].Name = "floating/0"
	is.True(document.take("a", 1, now))
	is.Equal(document.owned("a", 1), []string{"floating/0"})
	is.True(document.take("b", 1, now))
	is.Equal(document.owned("b", 1), nil)
	is.True(document.othersWait("a", now))
	is.Equal(document.othersWait("b", now), false)
	is.True(document.adopt("a", 2))
	is.Equal(document.owned("a", 1), nil)
	is.True(document.release("a", "floating/0"))
	is.True(document.take("c", 1, now))
	is.Equal(document.owned("c", 1), nil)
	is.True(document.take("b", 1, now))
	is.Equal(document.owned("b", 1), []string{"floating/0"})
}

func TestOlderReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	report := reporter.Report{
		At:   time.Unix(100, 0),
		Used: 16,
	}
	g := newGroup(&Config{
		DutyCount: 1,
		Report: func(string) (reporter.Report, time.Time, bool) {
			return report, report.At, true
		},
	}, 0)
	_, _ = g.newestReport("e")
	report = reporter.Report{
		At: time.Unix(99, 0),
	}
	kept, ok := g.newestReport("e")
	is.True(ok)
	is.Equal(kept.Used, int64(16))
}
