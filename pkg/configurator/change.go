package configurator

import "time"

// Action names what an operation does to a record.
type Action string

// The actions of an operation.
const (
	// ActionCreate adds a record; its name must be new.
	ActionCreate Action = "create"
	// ActionPut adds or replaces a record. Keys, versions and batches are
	// never replaced: putting an equal one again does nothing.
	ActionPut Action = "put"
	// ActionRemove deletes a team, model, adapter, service, upstream or route.
	ActionRemove Action = "remove"
)

// Operation creates, replaces or removes one record. Exactly one record field is
// set; ActionRemove uses only the record's name.
type Operation struct {
	// Action is what is done to the record.
	Action Action `json:"action"`
	// Team is set if the operation applies to a team.
	Team *Team `json:"team,omitempty"`
	// Key is set if the operation applies to a key.
	Key *Key `json:"key,omitempty"`
	// Model is set if the operation applies to a model.
	Model *Model `json:"model,omitempty"`
	// Version is set if the operation applies to a version.
	Version *Version `json:"version,omitempty"`
	// Adapter is set if the operation applies to an adapter.
	Adapter *Adapter `json:"adapter,omitempty"`
	// Batch is set if the operation applies to a batch.
	Batch *Batch `json:"batch,omitempty"`
	// Service is set if the operation applies to a service.
	Service *Service `json:"service,omitempty"`
	// Upstream is set if the operation applies to an upstream.
	Upstream *Upstream `json:"upstream,omitempty"`
	// Route is set if the operation applies to a route.
	Route *Route `json:"route,omitempty"`
}

// Change is a list of operations requested by an operator. It is applied
// atomically.
type Change struct {
	// ID identifies the request, so that a repeated request is not applied
	// twice.
	ID string `json:"id"`
	// Operator is the name of the operator.
	Operator string `json:"operator"`
	// At is when the operator requested the change.
	At time.Time `json:"at"`
	// Operations are applied in order.
	Operations []Operation `json:"operations,omitempty"`
}

// Act is one change that was applied, as kept in the history.
type Act struct {
	// Change is what was applied. Its operations are omitted if they are large
	// or if the act is no longer among the most recent.
	Change
	// Revision is the revision of the configuration that resulted.
	Revision uint64 `json:"revision"`
	// Count is the number of operations that were applied.
	Count int `json:"count"`
}

// Complete reports whether the act still includes all its operations.
func (a Act) Complete() bool { return len(a.Operations) == a.Count }
