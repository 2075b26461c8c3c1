package stager

import "time"

const (
	// soleLoss is how much more it costs to drop the only copy of a model than
	// one of several, whose requests others take over.
	soleLoss = 4
	// gainLeast is how many times the demand for the model to load must be that
	// for what is dropped, so that two models do not take turns.
	gainLeast = 1.5
	// residence is how long a model that was loaded is kept, so that a load is
	// worth its time.
	residence = 8 * time.Second
	// secondLoss is what a second of loading costs, in tokens a second: it
	// prefers engines that have the weights at hand.
	secondLoss = 100
)

// site is an engine that a model could be loaded on.
type site struct {
	engine string
	// free is the memory that nothing takes, in bytes.
	free int64
	// load is how long the load takes there; remote is set if the weights come
	// from the weight store.
	load   time.Duration
	remote bool
	held   []tenant
}

// tenant is a model that an engine holds.
type tenant struct {
	checkpoint string
	bytes      int64
	// rate is the demand for it, in tokens a second, over all its copies.
	rate   float64
	copies int
	// fixed is set if it must stay for now.
	fixed bool
}

// loss is what dropping a model costs.
func (t tenant) loss() float64 {
	if t.copies > 1 {
		return t.rate / float64(t.copies)
	}
	return t.rate * soleLoss
}

// choice is where a model is loaded and what makes way.
type choice struct {
	site    site
	victims []tenant
	// bytes is the memory of the model.
	bytes int64
	loss  float64
}

// choose decides where a model is loaded whose demand is given: where the least
// is lost. It answers demand for a model that no engine holds, or too few do.
func choose(sites []site, bytes int64, rate float64) (choice, bool) {
	var best choice
	found := false
	for _, one := range sites {
		victims, loss, ok := one.clear(bytes)
		if !ok || loss*gainLeast > rate {
			continue
		}
		loss += secondLoss * one.load.Seconds()
		if !found || loss < best.loss {
			best = choice{
				site:    one,
				victims: victims,
				bytes:   bytes,
				loss:    loss,
			}
			found = true
		}
	}
	return best, found
}

// clear lists what has to go for a model, the least loss first.
func (s site) clear(bytes int64) (victims []tenant, loss float64, ok bool) {
	free := s.free
	gone := make([]bool, len(s.held))
	for free < bytes {
		least := -1
		for i, one := range s.held {
			if one.fixed || gone[i] || least >= 0 && one.loss() >= s.held[least].loss() {
				continue
			}
			least = i
		}
		if least < 0 {
			return nil, 0, false
		}
		gone[least] = true
		victims = append(victims, s.held[least])
		free += s.held[least].bytes
		loss += s.held[least].loss()
	}
	return victims, loss, true
}
