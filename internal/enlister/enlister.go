// Package enlister registers an instance in the store's list of instances, with an entry under a
// lease, so that others find it while it is alive.
package enlister

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Prefix is the prefix of the keys of instances' entries; the rest of a key is the instance's name.
const Prefix = "instances/"

const (
	// Lease is the time to live of an entry. Heartbeats detect a death before the lease lapses; the
	// lease only cleans up the list.
	Lease = 15 * time.Second
	// renewalsPerLease is the number of renewals within an entry's time to live; two of them may fail.
	renewalsPerLease = 3
	// callTimeout limits one call to the store.
	callTimeout = 2 * time.Second
	// leaveTimeout limits the last call, without which the entry merely remains until its lease
	// lapses.
	leaveTimeout = 200 * time.Millisecond
	// maxRetryPause is the longest pause after a failure.
	maxRetryPause = time.Second
)

// Enlister maintains the entry of one instance.
type Enlister struct {
	config Config
	// value is the encoded entry.
	value []byte
	// lease is the lease of the entry in the store; its ID is empty while there is none.
	lease storer.Lease
	// wake ends the pause before the next renewal.
	wake chan struct{}
}

// New returns an Enlister that has not written the entry yet. It returns *Unreadable if the entry
// cannot be encoded.
func New(config Config) (*Enlister, error) {
	value, err := json.Marshal(entry{
		Domain:  config.Domain,
		Address: config.Address,
		Share:   config.Cores,
	})
	if err != nil {
		return nil, &Unreadable{
			Cause: err,
		}
	}
	return &Enlister{
		config: config,
		value:  value,
		wake:   make(chan struct{}, 1),
	}, nil
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
		err := e.step(ctx)
		var lapsed *storer.Lapsed
		if errors.As(err, &lapsed) {
			err = e.step(ctx)
		}
		if err != nil {
			e.config.Log.WithError(err).Warn("member.unlisted")
			waiter.Pause(ctx, maxRetryPause/2+rand.N(maxRetryPause/2))
			continue
		}
		e.pause(ctx)
	}
}

// pause waits until the next renewal is due or Refresh is called.
func (e *Enlister) pause(ctx context.Context) {
	timer := time.NewTimer(Lease / renewalsPerLease)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
	}
}

// Refresh makes the entry be renewed, or written again if its lease is gone, soon. It suits a store that was restored from a
// copy.
func (e *Enlister) Refresh() {
	select {
	case e.wake <- struct{}{}:
	default:
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
	swap := storer.Swap{
		Key:   Prefix + e.config.Name,
		Value: e.value,
		Lease: lease.ID,
	}
	written, err := e.config.Store.Swap(ctx, swap)
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		swap.Expected = conflict.Current
		written, err = e.config.Store.Swap(ctx, swap)
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

// leave revokes the lease, which deletes the entry, so that others need not wait for it to lapse.
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
