package placer

import "github.com/buckthorngap/buckthorngap/pkg/configurator"

// Catalog looks up the operators' configuration. All functions read the same snapshot.
type Catalog struct {
	// Model returns a model by name.
	Model func(name string) (configurator.Model, bool)
	// Models returns all models.
	Models func() []configurator.Model
	// Version returns a version by model and name.
	Version func(model, name string) (configurator.Version, bool)
	// Checkpoint returns the version that a checkpoint belongs to.
	Checkpoint func(checkpoint string) (configurator.Version, bool)
	// Adapter returns an adapter by name.
	Adapter func(name string) (configurator.Adapter, bool)
	// Upstream returns the operators' configuration of an upstream.
	Upstream func(name string) (configurator.Upstream, bool)
	// VersionWithdrawn reports whether a version or its batch was withdrawn.
	VersionWithdrawn func(version configurator.Version) bool
	// AdapterWithdrawn reports whether an adapter or its batch was withdrawn.
	AdapterWithdrawn func(adapter configurator.Adapter) bool
}

// currentVersion returns a model and its current version, which serves its requests. It
// reports false if the model or the version is unknown, or the version was withdrawn.
func (c *Catalog) currentVersion(name string) (configurator.Model, configurator.Version, bool) {
	model, ok := c.Model(name)
	if !ok {
		return model, configurator.Version{}, false
	}
	version, ok := c.Version(name, model.Version)
	if !ok || c.VersionWithdrawn(version) {
		return model, version, false
	}
	return model, version, true
}

// adapterServable reports whether requests for an adapter may be served. An empty name
// means that the request needs no adapter.
func (c *Catalog) adapterServable(name string) bool {
	if name == "" {
		return true
	}
	adapter, ok := c.Adapter(name)
	return ok && !c.AdapterWithdrawn(adapter)
}
