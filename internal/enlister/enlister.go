// Package enlister keeps the entry of an instance in the store's list of
// instances, under a lease, so that others find it while it lives.
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

// Prefix is what the keys of instances begin with; the rest is the name.
const Prefix = "instances/"

const (
	// Lease is the time to live of an entry. Deaths are noticed by heartbeats
	// before it lapses; it only cleans the list.
	Lease = 15 * time.Second
	// renewals is how often an entry is renewed within its time to live, so that
	// two renewals may fail.
	renewals = 3
	// callTimeout ends one call to the store.
	callTimeout = 2 * time.Second
	// leaveTimeout ends the last call, which only spares others the lease.
	leaveTimeout = 200 * time.Millisecond
	// pause is the longest pause after a failure.
	pause = time.Second
)

// Config is what an Enlister needs.
type Config struct {
	// Name is the instance's name.
	Name string
	// Domain is its failure domain.
	Domain string
	// Address is where peers reach it.
	Address netip.AddrPort
	// Share is the processor share that it may use, in cores; zero if not known.
	Share float64
	// Store is the platform's key-value service.
	Store *storer.Store
	// Log gets one line for each registration and loss of it.
	Log logrus.FieldLogger
}

// Enlister keeps one entry.
type Enlister struct {
	config Config
	value  []byte
	lease  storer.Lease
}

// New returns an Enlister that has written nothing.
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

// entry is the value of an instance's entry.
type entry struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	Share   float64        `json:"share,omitempty"`
}

// Run keeps the entry until the context ends, then ends the lease. It returns nil.
func (e *Enlister) Run(ctx context.Context) error {
	e.loop(ctx)
	e.leave(context.WithoutCancel(ctx))
	return nil
}

func (e *Enlister) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.step(ctx); err != nil {
			e.config.Log.WithError(err).Warn("member.unlisted")
			waiter.Pause(ctx, pause/2+rand.N(pause/2))
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

// register writes the entry under a new lease, in place of one that a former
// start has left.
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

// leave ends the lease, which removes the entry.
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

// Decode reads an instance's entry, as lister.Config.Decode has it. It returns *Unreadable.
func Decode(found storer.Entry) (lister.Row, error) {
	var read entry
	if err := json.Unmarshal(found.Value, &read); err != nil {
		return lister.Row{}, &Unreadable{
			Cause: err,
		}
	}
	if !read.Address.IsValid() || read.Domain == "" {
		return lister.Row{}, &Unreadable{}
	}
	return lister.Row{
		Instance: storer.Instance{
			Domain:  read.Domain,
			Role:    storer.RoleEntry,
			Address: read.Address,
			Share:   max(0, read.Share),
		},
		Report: reporter.Report{
			Sequence: uint64(found.Revision),
		},
	}, nil
}

// Unreadable reports an entry that names no instance.
type Unreadable struct {
	// Cause is the error of the encoding, or nil.
	Cause error
}

// Error implements error.
func (e *Unreadable) Error() string {
	if e.Cause == nil {
		return "the entry of an instance lacks its address or domain"
	}
	return "the entry of an instance cannot be read: " + e.Cause.Error()
}

// Unwrap returns the error of the encoding.
func (e *Unreadable) Unwrap() error { return e.Cause }
