package placer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Term is the holding of a duty at one epoch: the fencing number of orders, and a check
// that the duty is still held.
type Term = holder.Fence

// Config configures a Placer.
type Config struct {
	// Self is this instance.
	Self messenger.Sender
	// Domain is the failure domain whose engines are managed.
	Domain string
	// Domains are all failure domains that share the weight store. The limits on loads are
	// divided by their number.
	Domains []string
	// DutyCount is the number of placement duties in the domain; zero means one.
	DutyCount int
	// Term returns this instance's term of a duty, or false if it does not hold the duty.
	Term func(duty string) (Term, bool)
	// Owner returns the holder of a duty and its epoch, or false if the holder is not
	// known.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// Call sends a message to a peer.
	Call messenger.Caller
	// Store is the platform's key-value service.
	Store *storer.Store
	// Catalog returns lookups into the configuration that is in force.
	Catalog func() Catalog
	// Engines returns the engines of the domain.
	Engines func() []storer.Instance
	// Report returns the latest report of an upstream and the time at which it was
	// received.
	Report func(upstream string) (reporter.Report, time.Time, bool)
	// Order sends an order to an engine, as orderer.Orderer.Order does.
	Order func(ctx context.Context, engine storer.Instance, order orderer.Order) error
	// Planner makes the placement decisions; nil means Decide.
	Planner Planner
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Log receives one line per event.
	Log logrus.FieldLogger
	// Settings are the limits and the policy of placement.
	Settings parser.Loading
}
