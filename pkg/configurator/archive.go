package configurator

import (
	"encoding/json"
	"iter"
	"slices"
)

// Archive is the whole configuration as one file. It holds the hashes of keys.
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
	// Upstreams are all upstreams that operators described.
	Upstreams []Upstream `json:"upstreams"`
	// Routes are all routes.
	Routes []Route `json:"routes"`
	// Keys are all keys.
	Keys []Key `json:"keys"`
	// Withdrawals are all withdrawals.
	Withdrawals []Withdrawal `json:"withdrawals"`
}

// Archive returns the whole configuration.
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

// Encode writes the archive as JSON. It returns *Malformed.
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

// DecodeArchive reads an archive. It returns *Malformed.
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

// Operations put everything that the archive holds but the withdrawals, in an
// order in which each record finds those that it names. Models stand twice,
// first without their versions.
func (a Archive) Operations() []Operation {
	var operations []Operation
	for _, records := range []iter.Seq[Operation]{
		wrap(slices.Values(a.Teams), setTeam),
		wrap(slices.Values(a.Batches), setBatch),
		wrap(slices.Values(a.Models), setBareModel),
		wrap(slices.Values(a.Versions), setVersion),
		wrap(slices.Values(a.Models), setModel),
		wrap(slices.Values(a.Adapters), setAdapter),
		wrap(slices.Values(a.Services), setService),
		wrap(slices.Values(a.Upstreams), setUpstream),
		wrap(slices.Values(a.Routes), setRoute),
		wrap(slices.Values(a.Keys), setKey),
	} {
		for operation := range records {
			operation.Action = ActionPut
			operations = append(operations, operation)
		}
	}
	return operations
}

// Snapshot returns what the archive makes of the empty configuration. Errors
// are as of Snapshot.Apply and Withdrawals.Add.
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
	return snapshot.With(withdrawals), nil
}
