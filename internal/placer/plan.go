package placer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Planner decides what to load and unload. It has no side effects.
type Planner func(state State) Plan

// Plan is the result of a placement decision.
type Plan struct {
	// Loads are the copies to load.
	Loads []Load
	// Unloads are the copies to unload.
	Unloads []Unload
	// Adapters are the adapters to load into or unload from the pools of loaded copies.
	Adapters []AdapterOrder
	// Finished are the IDs of the orders whose intents can have no further effect.
	Finished []string
	// SlotShortage is the number of loads that only lack a slot of the weight store.
	SlotShortage int
}

// Load is a copy to load.
type Load struct {
	// Engine is the engine's name.
	Engine string
	// Version is the version to load.
	Version configurator.Version
	// Bytes is the memory that the copy takes, its adapters' pool included, in bytes.
	Bytes int64
	// Remote is set if the weights are read from the weight store.
	Remote bool
	// Extra is set if the copy may exceed the model's replicas by one.
	Extra bool
	// Since is when the first waiting request arrived.
	Since time.Time
	// Team is the team of the waiting request with the earliest deadline.
	Team string
}

// Unload is a copy to unload.
type Unload struct {
	// Engine is the engine's name.
	Engine string
	// Model is the model's name, or empty if the checkpoint is not known.
	Model string
	// Version is the version's name, or empty.
	Version string
	// Checkpoint identifies the copy to unload.
	Checkpoint string
	// Bytes is the memory that the copy takes, in bytes.
	Bytes int64
}

// AdapterOrder is an adapter to load or unload.
type AdapterOrder struct {
	// Kind is orderer.LoadAdapter or orderer.UnloadAdapter.
	Kind orderer.Kind
	// Engine is the engine's name.
	Engine string
	// Checkpoint identifies the copy whose pool holds the adapter.
	Checkpoint string
	// Adapter is the adapter's name.
	Adapter string
	// Bytes is the memory that the adapter takes, in bytes.
	Bytes int64
}
