// Package enlister registers an instance in the store's list of instances, with an entry under a
// lease, so that others find it while it is alive.
package enlister

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Prefix is the prefix of the keys of instances' entries; the rest of a key is the instance's name.
const Prefix = "instances/"

const (
	// Lease is the time to live of an entry. Heartbeats detect a death before the lease lapses; the
	// lease only cleans up the list.
	Lease = 15 * time.Second
	// renewals is the number of renewals within an entry's time to live; two of them may fail.
	renewals = 3
	// callTimeout limits one call to the store.
	callTimeout = 2 * time.Second
	// leaveTimeout limits the last call, without which the entry merely remains until its lease
	// lapses.
	leaveTimeout = 200 * time.Millisecond
	// maxRetryPause is the longest pause after a failure.
	maxRetryPause = time.Second
)

// Config configures an Enlister.
type Config struct {
	// Name is the instance's name.
	Name string
	// Domain is its failure domain.
	Domain string
	// Address is the address at which peers reach it.
	Address netip.AddrPort
	// Share is the instance's processor share in cores; zero if unknown.
	Share float64
	// Store is the platform's key-value service.
	Store *storer.Store
	// Log receives one line for each registration, failure to register and failure to remove the
	// entry.
	Log logrus.FieldLogger
}

// Enlister maintains the entry of one instance.
type Enlister struct {
	config Config
	value  []byte
	lease  storer.Lease
}

// New returns an Enlister that has not written the entry yet.
func New(config Config) (*Enlister, error) {
	value, err := json.Marshal(entry{
		Domain:  config.Domain,
		Address: config.Address,
		Share:   config.Share,
	})
	if err != nil {
		return nil, &Unreadable{
			Cause: err,
		}
	}
	return &Enlister{
		config: config,
		value:  value,
	}, nil
}

// entry is the stored value of an instance's entry.
type entry struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	Share   float64        `json:"share,omitempty"`
}

// Run maintains the entry until the context ends, then revokes the lease. It returns nil.
func (e *Enlister) Run(ctx context.Context) error {
	e.loop(ctx)
	e.leave(context.WithoutCancel(ctx))
	return nil
}

// loop writes and renews the entry, and retries after a random pause if that fails.
func (e *Enlister) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.step(ctx); err != nil {
			e.config.Log.WithError(err).Warn("member.unlisted")
			waiter.Pause(ctx, maxRetryPause/2+rand.N(maxRetryPause/2))
			continue
		}
		waiter.Pause(ctx, Lease/renewals)
	}
}

// step writes the entry, or renews its lease.
func (e *Enlister) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if e.lease.ID == "" {
		return e.register(ctx)
	}
	lease, err := e.config.Store.Renew(ctx, e.lease.ID)
	var lapsed *storer.Lapsed
	if errors.As(err, &lapsed) {
		e.lease = storer.Lease{}
	}
	if err != nil {
		return err
	}
	e.lease = lease
	return nil
}

// register writes the entry under a new lease, replacing one left by a previous incarnation.
func (e *Enlister) register(ctx context.Context) error {
	lease, err := e.config.Store.Grant(ctx, Lease)
	if err != nil {
		return err
	}
	entry := storer.Swap{
		Key:   Prefix + e.config.Name,
		Value: e.value,
		Lease: lease.ID,
	}
	written, err := e.config.Store.Swap(ctx, entry)
	var former *storer.Conflict
	if errors.As(err, &former) {
		entry.Expected = former.Current
		written, err = e.config.Store.Swap(ctx, entry)
	}
	if err != nil {
		return err
	}
	e.lease = lease
	e.config.Log.WithFields(logrus.Fields{
		"revision": written.Revision,
		"address":  e.config.Address,
	}).Info("member.listed")
	return nil
}

// leave revokes the lease, which removes the entry.
func (e *Enlister) leave(ctx context.Context) {
	if e.lease.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.config.Store.Revoke(ctx, e.lease.ID); err != nil {
		e.config.Log.WithError(err).Info("member.lingering")
	}
}

// Decode decodes an instance's entry. It suits lister.Config.Decode. It returns *Unreadable if the
// entry is not valid.
func Decode(stored storer.Entry) (lister.Row, error) {
	var decoded entry
	if err := json.Unmarshal(stored.Value, &decoded); err != nil {
		return lister.Row{}, &Unreadable{
			Cause: err,
		}
	}
	if !decoded.Address.IsValid() || decoded.Domain == "" {
		return lister.Row{}, &Unreadable{}
	}
	return lister.Row{
		Instance: storer.Instance{
			Domain:  decoded.Domain,
			Role:    storer.RoleEntry,
			Address: decoded.Address,
			Share:   max(0, decoded.Share),
		},
		Report: reporter.Report{
			Sequence: uint64(stored.Revision),
		},
	}, nil
}

// Unreadable reports an instance's entry that cannot be encoded or decoded, or that lacks its
// address or failure domain.
type Unreadable struct {
	// Cause is the JSON error, or nil.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string {
	if e.Cause == nil {
		return "the entry of an instance lacks its address or failure domain"
	}
	return "the entry of an instance cannot be encoded or decoded: " + e.Cause.Error()
}

// Unwrap returns the JSON error.
func (e *Unreadable) Unwrap() error { return e.Cause }
