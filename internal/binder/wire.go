package binder

import "github.com/buckthorngap/buckthorngap/pkg/storer"

// The paths of the service. Every call is a POST with a JSON body.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathSwap      = "/v1/swap"
	PathDelete    = "/v1/delete"
	PathGrant     = "/v1/lease/grant"
	PathRenew     = "/v1/lease/renew"
	PathRevoke    = "/v1/lease/revoke"
	PathWatch     = "/v1/watch"
	PathInstances = "/v1/instances"
)

// Entry is an entry of the store on the wire.
type Entry struct {
	// Key is the entry's name.
	Key string `json:"key"`
	// Value is the entry's value.
	Value []byte `json:"value"`
	// Revision is the revision of the write that last changed the entry.
	Revision storer.Revision `json:"revision"`
	// Lease is the lease that the entry is attached to.
	Lease storer.LeaseID `json:"lease,omitempty"`
}

// KeyRequest reads or deletes an entry.
type KeyRequest struct {
	// Key is the entry's name.
	Key string `json:"key"`
	// Expected is the revision that the entry must have to be deleted.
	Expected storer.Revision `json:"expected,omitempty"`
}

// PrefixRequest lists or watches the entries whose keys have a prefix.
type PrefixRequest struct {
	// Prefix is the prefix of the keys.
	Prefix string `json:"prefix"`
	// After is the last revision that the caller of a watch has seen.
	After storer.Revision `json:"after,omitempty"`
	// Milliseconds is how long a watch may wait for a change.
	Milliseconds int64 `json:"milliseconds,omitempty"`
}

// SwapRequest is one compare-and-swap.
type SwapRequest struct {
	// Key is the name of the entry to write.
	Key string `json:"key"`
	// Value is the new value.
	Value []byte `json:"value"`
	// Expected is the revision that the entry must have; zero requires it to be absent.
	Expected storer.Revision `json:"expected"`
	// Lease attaches the entry to a lease.
	Lease storer.LeaseID `json:"lease,omitempty"`
}

// LeaseRequest grants, renews or revokes a lease.
type LeaseRequest struct {
	// Lease is the lease's id; empty for a grant.
	Lease storer.LeaseID `json:"lease,omitempty"`
	// Milliseconds is the requested time to live of a grant.
	Milliseconds int64 `json:"milliseconds,omitempty"`
}

// LeaseAnswer is a granted or renewed lease.
type LeaseAnswer struct {
	// Lease is the lease's id.
	Lease storer.LeaseID `json:"lease"`
	// Milliseconds is the lease's time to live.
	Milliseconds int64 `json:"milliseconds"`
}

// ListAnswer is the answer to a list or a watch.
type ListAnswer struct {
	// Entries are the entries, in the order of their keys.
	Entries []Entry `json:"entries"`
	// Deleted are the keys that were deleted since the watch's revision.
	Deleted []string `json:"deleted,omitempty"`
	// Revision is the store's revision at the time of the answer.
	Revision storer.Revision `json:"revision"`
}

// InstancesAnswer is the answer to a request for the platform's list of instances.
type InstancesAnswer struct {
	// Instances are the listed instances.
	Instances []storer.Instance `json:"instances"`
}

// Failure is the body of every answer with a status other than 200.
type Failure struct {
	// Code is "absent", "conflict", "lapsed", "toolarge", "busy", "out" or "malformed".
	Code string `json:"code"`
	// Current is the entry's revision in a conflict.
	Current storer.Revision `json:"current,omitempty"`
}

// The error codes of a Failure.
const (
	CodeAbsent    = "absent"
	CodeConflict  = "conflict"
	CodeLapsed    = "lapsed"
	CodeTooLarge  = "toolarge"
	CodeBusy      = "busy"
	CodeOut       = "out"
	CodeMalformed = "malformed"
)
