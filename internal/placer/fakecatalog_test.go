package placer

import (
	"fmt"
	"strings"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

const (
	// poolBytes is the size of the adapter pool beside each copy, in bytes. Two adapters
	// fit.
	poolBytes = 4
	// adapterBytes is the size of an adapter, in bytes.
	adapterBytes = 2
	// adapterCount is the number of adapters of each model.
	adapterCount = 3
)

// catalog returns a catalog with models m0 to m7 of 6 to 20 bytes, each with versions v1
// and v2 and with adapters named like m0/a0.
func (sim *simulation) catalog() Catalog {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	catalog := fakeCatalog(sim.versions, sim.withdrawn)
	withoutPool := catalog.Model
	pool := sim.poolBytes
	catalog.Model = func(name string) (configurator.Model, bool) {
		model, ok := withoutPool(name)
		model.AdapterBytes = pool
		return model, ok
	}
	return catalog
}

// fakeCatalog returns a catalog with the given current versions by model, v1 by default. The
// keys of withdrawn are the names of checkpoints and adapters.
func fakeCatalog(versions map[string]string, withdrawn map[string]bool) Catalog {
	current := make(map[string]string, len(versions))
	for model, version := range versions {
		current[model] = version
	}
	isWithdrawn := make(map[string]bool, len(withdrawn))
	for checkpoint := range withdrawn {
		isWithdrawn[checkpoint] = true
	}
	model := func(name string) (configurator.Model, bool) {
		version := current[name]
		if version == "" {
			version = "v1"
		}
		return configurator.Model{
			Name:     name,
			Version:  version,
			Replicas: replicasOf(name),
		}, strings.HasPrefix(name, "m")
	}
	version := func(model, name string) (configurator.Version, bool) {
		return configurator.Version{
			Model:      model,
			Name:       name,
			Checkpoint: model + ":" + name,
			Bytes:      6 + 2*int64(model[1]-'0'),
		}, true
	}
	return Catalog{
		Model:   model,
		Version: version,
		Models: func() []configurator.Model {
			var all []configurator.Model
			for i := range modelCount {
				m, _ := model(fmt.Sprintf("m%d", i))
				all = append(all, m)
			}
			return all
		},
		Checkpoint: func(checkpoint string) (configurator.Version, bool) {
			name, number, _ := strings.Cut(checkpoint, ":")
			return version(name, number)
		},
		Adapter: func(name string) (configurator.Adapter, bool) {
			model, _, ok := strings.Cut(name, "/")
			return configurator.Adapter{
				Name:  name,
				Model: model,
				Bytes: adapterBytes,
			}, ok
		},
		Upstream: func(name string) (configurator.Upstream, bool) {
			return configurator.Upstream{
				Name:    name,
				Fencing: strings.HasSuffix(name, "e0"),
				Bytes:   30,
			}, true
		},
		VersionWithdrawn: func(v configurator.Version) bool { return isWithdrawn[v.Checkpoint] },
		AdapterWithdrawn: func(adapter configurator.Adapter) bool { return isWithdrawn[adapter.Name] },
	}
}
