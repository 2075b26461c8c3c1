package configurator

import (
	"encoding/json"
	"iter"
	"slices"
)

// Archive is the full configuration as one exported file. It includes the
// hashes of keys.
type Archive struct {
	// Revision is the revision that was exported.
	Revision uint64 `json:"revision"`
	// Teams are all teams.
	Teams []Team `json:"teams"`
	// Batches are all batches.
	Batches []Batch `json:"batches"`
	// Models are all models.
	Models []Model `json:"models"`
	// Versions are all versions.
	Versions []Version `json:"versions"`
	// Adapters are all adapters.
	Adapters []Adapter `json:"adapters"`
	// Services are all services.
	Services []Service `json:"services"`
	// Upstreams are all upstreams that operators configured.
	Upstreams []Upstream `json:"upstreams"`
	// Routes are all routes.
	Routes []Route `json:"routes"`
	// Keys are all keys.
	Keys []Key `json:"keys"`
	// Withdrawals are all withdrawals.
	Withdrawals []Withdrawal `json:"withdrawals"`
}

// Archive returns the full configuration, withdrawals included.
func (s *Snapshot) Archive() Archive {
	return Archive{
		Revision:    s.revision,
		Teams:       slices.Collect(s.Teams()),
		Batches:     slices.Collect(s.Batches()),
		Models:      slices.Collect(s.Models()),
		Versions:    slices.Collect(s.Versions()),
		Adapters:    slices.Collect(s.Adapters()),
		Services:    slices.Collect(s.Services()),
		Upstreams:   slices.Collect(s.Upstreams()),
		Routes:      slices.Collect(s.Routes()),
		Keys:        slices.Collect(s.Keys()),
		Withdrawals: slices.Collect(s.withdrawals.All()),
	}
}

// Encode returns the archive as JSON. Errors are *Malformed.
func (a Archive) Encode() ([]byte, error) {
	encoded, err := json.MarshalIndent(a, "", " ")
	if err != nil {
		return nil, &Malformed{
			What:  "archive",
			Cause: err,
		}
	}
	return encoded, nil
}

// DecodeArchive parses an archive from JSON. Errors are *Malformed.
func DecodeArchive(data []byte) (Archive, error) {
	var archive Archive
	if err := json.Unmarshal(data, &archive); err != nil {
		return Archive{}, &Malformed{
			What:  "archive",
			Cause: err,
		}
	}
	return archive, nil
}

// Operations returns the operations that put every record of the archive except
// the withdrawals, ordered so that each record follows those it refers to.
// Models and versions refer to each other, so each model is put twice, the first
// time without its version.
func (a Archive) Operations() []Operation {
	var operations []Operation
	for _, records := range []iter.Seq[Operation]{
		operationsOf(slices.Values(a.Teams), setTeam),
		operationsOf(slices.Values(a.Batches), setBatch),
		operationsOf(slices.Values(a.Models), setModelWithoutVersion),
		operationsOf(slices.Values(a.Versions), setVersion),
		operationsOf(slices.Values(a.Models), setModel),
		operationsOf(slices.Values(a.Adapters), setAdapter),
		operationsOf(slices.Values(a.Services), setService),
		operationsOf(slices.Values(a.Upstreams), setUpstream),
		operationsOf(slices.Values(a.Routes), setRoute),
		operationsOf(slices.Values(a.Keys), setKey),
	} {
		for operation := range records {
			operation.Action = ActionPut
			operations = append(operations, operation)
		}
	}
	return operations
}

// Snapshot returns the empty configuration with the archive applied to it.
// Errors are those of Snapshot.Apply and Withdrawals.Add.
func (a Archive) Snapshot() (*Snapshot, error) {
	snapshot, err := Empty().Apply(Change{
		ID:         "archive",
		Operations: a.Operations(),
	})
	if err != nil {
		return nil, err
	}
	withdrawals, err := NewWithdrawals().Add(a.Withdrawals...)
	if err != nil {
		return nil, err
	}
	return snapshot.WithWithdrawals(withdrawals), nil
}
