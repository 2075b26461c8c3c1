package coldstarter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProductKeepsLimitsWithFaults guards against faults that make the product
// exceed a limit or lose a waiting request.
func TestProductKeepsLimitsWithFaults(t *testing.T) {
	is := is.New(t)
	for _, site := range sites {
		product := variants(comparedKeepWarm)[0]
		product.Faults = true
		requests := site.arrivals(warmUp + 20*time.Minute)
		counted := 0
		for _, request := range requests {
			if request.at >= warmUp {
				counted++
			}
		}
		result := simulate(context.Background(), site, product, requests)
		is.Equal(result.Requests, counted)
		is.Equal(result.Refused, 0)
		is.Equal(result.Limited, 0)
		is.True(result.Peak <= weightSlots)
	}
}

func TestCrashedEngineLosesCopiesAndLoads(t *testing.T) {
	is := is.New(t)
	product := variants(comparedKeepWarm)[0]
	f := newFleet(sites[0], product)
	domain := f.domains[0]
	target := domain.engines[0]
	for _, e := range domain.engines {
		e.onChange = func() {}
	}
	done := false
	is.True(f.weightStore.begin(f.now, target.name, gigabyte, func() { done = true }))
	is.Equal(len(domain.listed), len(domain.engines))
	newFaultInjector(f).crashNext(context.Background())
	domain.refreshList()
	is.True(target.crashed)
	is.Equal(len(f.weightStore.loads), 0)
	is.Equal(len(domain.listed), len(domain.engines)-1)
	f.weightStore.advance(f.now.Add(time.Minute))
	is.Equal(done, false)
}

func TestSlowWeightStoreTakesLonger(t *testing.T) {
	is := is.New(t)
	w := &weightStore{
		now:         epoch,
		speedFactor: 1,
	}
	var done bool
	is.True(w.begin(epoch, "a-00", 4*gigabyte, func() { done = true }))
	w.setSpeedFactor(epoch.Add(time.Second), slowFactor)
	w.advance(epoch.Add(2900 * time.Millisecond))
	is.Equal(done, false)
	w.advance(epoch.Add(3100 * time.Millisecond))
	is.True(done)
}
