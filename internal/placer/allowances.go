package placer

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// allowanceEngines is the number of engines on which each model may be loaded without a
	// record.
	allowanceEngines = 2
	// allowanceInterval is the time between refreshes of the allowances.
	allowanceInterval = 30 * time.Second
)

// refreshAllowances returns the allowances to record. Those of earlier epochs are kept
// until the reports of their engines show whether they were used, or the engines are no
// longer listed.
func (g *group) refreshAllowances(state State, _ Plan) []Allowance {
	if state.Now.Before(g.allowancesDue) {
		return g.ledger.Allowances
	}
	trusted := map[string]*Engine{}
	allTrusted := true
	for i := range state.Engines {
		engine := &state.Engines[i]
		if engine.trusted() {
			trusted[engine.Name] = engine
		} else {
			allTrusted = false
		}
	}
	if len(trusted) == 0 {
		return g.ledger.Allowances
	}
	g.allowancesDue = state.Now.Add(allowanceInterval)
	if !allTrusted {
		g.allowancesDue = state.Now.Add(time.Second)
	}
	kept := slices.DeleteFunc(slices.Clone(g.ledger.Allowances), func(a Allowance) bool {
		_, ok := trusted[a.Engine]
		return a.Epoch == g.epoch || ok || !slices.ContainsFunc(state.Engines, func(e Engine) bool {
			return e.Name == a.Engine
		})
	})
	return append(kept, g.allowances(&state, trusted)...)
}

// allowances returns the allowances of this epoch. Each model may be loaded on a few
// engines, chosen by rendezvous hashing.
func (g *group) allowances(state *State, trusted map[string]*Engine) []Allowance {
	var allowed []Allowance
	for _, model := range state.Catalog.Models() {
		_, version, ok := state.Catalog.currentVersion(model.Name)
		if !ok || g.replicas(model) == 0 {
			continue
		}
		bytes := version.Bytes + model.AdapterBytes
		for _, engine := range rendezvous(model.Name, trusted, bytes) {
			allowed = append(allowed, Allowance{
				Epoch:  g.epoch,
				Engine: engine,
				Model:  model.Name,
				Bytes:  bytes,
				Copies: 1,
			})
		}
	}
	return allowed
}

// rendezvous returns the engines with the highest hashes for a model among those that
// accept copies and are large enough.
func rendezvous(model string, engines map[string]*Engine, bytes int64) []string {
	var names []string
	weights := map[string]uint64{}
	for name, engine := range engines {
		if !engine.acceptsCopies() || engine.usableBytes() < bytes {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(model + "\x00" + name))
		weights[name] = hash.Sum64()
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if weights[a] > weights[b] || weights[a] == weights[b] && a < b {
			return -1
		}
		return 1
	})
	return names[:min(allowanceEngines, len(names))]
}
