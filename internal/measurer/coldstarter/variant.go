package coldstarter

import (
	"fmt"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/placer"
)

// Variant is one way of placing models.
type Variant struct {
	// Name is its name in the results.
	Name string
	// Policy is parser.EvictCost or parser.EvictAge.
	Policy string
	// Idle is the keep-warm time, or its price.
	Idle time.Duration
	// Instances is how many instances decide for themselves in each domain;
	// one means that demand is merged.
	Instances int
	// Arrival is set to load strictly in order of arrival.
	Arrival bool
	// Prewarm is set to load ahead of what recurs in the day.
	Prewarm bool
	// Faults is set if engines die and the weight store is slow for a time.
	Faults bool
}

// key names the variant, its keep-warm time and whether there are faults.
func (v Variant) key() string { return fmt.Sprintf("%s/%s/%t", v.Name, v.Idle, v.Faults) }

// planner returns the planner of the variant.
func (v Variant) planner() placer.Planner {
	if !v.Arrival {
		return placer.Decide
	}
	return func(state placer.State) placer.Plan {
		state.ByArrival = true
		return placer.Decide(state)
	}
}

// variants are the product and its baselines at one keep-warm time.
func variants(idle time.Duration) []Variant {
	product := Variant{
		Name:      "product",
		Policy:    parser.EvictCost,
		Idle:      idle,
		Instances: 1,
	}
	age := product
	age.Name = "age"
	age.Policy = parser.EvictAge
	unmerged := product
	unmerged.Name = "unmerged"
	unmerged.Instances = 2
	arrival := product
	arrival.Name = "arrival"
	arrival.Arrival = true
	return []Variant{product, age, unmerged, arrival}
}
