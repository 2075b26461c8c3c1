package configurator

import "time"

// Action is what an operation does to a record.
type Action string

// The actions of an operation.
const (
	// ActionCreate makes a record; its name must be new.
	ActionCreate Action = "create"
	// ActionPut makes or replaces a record. Keys, versions and batches are
	// never replaced: putting an equal one again does nothing.
	ActionPut Action = "put"
	// ActionRemove takes a team, model, adapter, service, upstream or route away.
	ActionRemove Action = "remove"
)

// Operation changes one record. Exactly one record is set; for ActionRemove
// only its name counts.
type Operation struct {
	// Action is what is done.
	Action Action `json:"action"`
	// Team is the team that the operation is about.
	Team *Team `json:"team,omitempty"`
	// Key is the key that the operation is about.
	Key *Key `json:"key,omitempty"`
	// Model is the model that the operation is about.
	Model *Model `json:"model,omitempty"`
	// Version is the version that the operation is about.
	Version *Version `json:"version,omitempty"`
	// Adapter is the adapter that the operation is about.
	Adapter *Adapter `json:"adapter,omitempty"`
	// Batch is the batch that the operation is about.
	Batch *Batch `json:"batch,omitempty"`
	// Service is the service that the operation is about.
	Service *Service `json:"service,omitempty"`
	// Upstream is the upstream that the operation is about.
	Upstream *Upstream `json:"upstream,omitempty"`
	// Route is the route that the operation is about.
	Route *Route `json:"route,omitempty"`
}

// Change is one act of an operator. It is applied whole or not at all.
type Change struct {
	// ID is the unique identity of the request. A change whose identity was
	// applied before is not applied again.
	ID string `json:"id"`
	// Operator is who acts.
	Operator string `json:"operator"`
	// At is when the operator acted.
	At time.Time `json:"at"`
	// Operations are applied in order.
	Operations []Operation `json:"operations,omitempty"`
}

// Act is a change that was applied.
type Act struct {
	// Change is what was applied. Its operations are left out if they are long.
	Change
	// Revision is the revision that it made.
	Revision uint64 `json:"revision"`
	// Count is the number of its operations.
	Count int `json:"count"`
}

// Complete tells whether the act still holds its operations.
func (a Act) Complete() bool { return len(a.Operations) == a.Count }
