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

// Term is the holding of a duty at one epoch.
type Term = holder.Fence

// Config is what a Placer needs.
type Config struct {
	// Self is this instance.
	Self messenger.Sender
	// Domain is the failure domain whose engines are placed on.
	Domain string
	// Domains are all failure domains that share the weight store.
	Domains []string
	// Groups is the number of placement duties in the domain; zero means one.
	Groups int
	// Term returns the holding of a duty, if this instance holds it.
	Term func(duty string) (Term, bool)
	// Owner returns the holder of a duty and its epoch, as far as known.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// Call sends a message to a peer.
	Call messenger.Caller
	// Store is the platform's key-value service.
	Store *storer.Store
	// Catalog returns lookups into the configuration in force.
	Catalog func() Catalog
	// Engines returns the engines of the domain.
	Engines func() []storer.Instance
	// Report returns the latest report of an upstream and when it was received.
	Report func(upstream string) (reporter.Report, time.Time, bool)
	// Order sends an order to an engine, as orderer.Orderer.Order does.
	Order func(ctx context.Context, engine storer.Instance, order orderer.Order) error
	// Planner decides; nil means Decide.
	Planner Planner
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Log receives one line an event.
	Log logrus.FieldLogger
	// Settings tunes the placement.
	Settings parser.Loading
}
