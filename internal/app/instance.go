package app

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/clocker"
	"github.com/buckthorngap/buckthorngap/internal/dumper"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/logger"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/placer"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Instance is one entry instance with all its parts: it admits, queues and routes requests, and takes
// part in the membership, the duties and the configuration of the cluster.
type Instance struct {
	settings  parser.Settings
	self      messenger.Sender
	log       *logrus.Entry
	identity  *certifier.Identity
	store     *storer.Store
	guard     *tracker.FreezeDetector
	messenger *messenger.Messenger
	tracker   *tracker.Tracker
	spreader  *spreader.Spreader
	holder    *holder.Holder
	limiter   *limiter.Limiter
	queuer    *queuer.Queuer
	claimer   *claimer.Claimer
	reporter  *reporter.Reporter
	pacer     *pacer.Pacer
	router    *router.Router
	forwarder *forwarder.Forwarder
	placer    *placer.Placer
	server    *server.Server
	operator  *operator.Server
	dumper    *dumper.Dumper
	started   time.Time
	// now is the clock for leases and the detection of freezes.
	now func() time.Time
	// snapshot returns the configuration in force.
	snapshot func() *configurator.Snapshot
}

// New creates an instance and its parts. It returns an error if the identity cannot be loaded or does
// not match the name and domain of the settings, or if the socket for peers cannot listen. Everything
// else listens only in Run.
func New(config Config) (*Instance, error) {
	settings := config.Settings
	identity := config.Identity
	if identity == nil {
		loaded, err := certifier.Load(settings.Peers.Identity)
		if err != nil {
			return nil, err
		}
		identity = loaded
	}
	if identity.Subject.Name != settings.Name || identity.Subject.Domain != settings.Domain {
		return nil, &certifier.Mismatch{
			Want: settings.Name + " in " + settings.Domain,
			Got:  identity.Subject.Name + " in " + identity.Subject.Domain,
		}
	}
	config.Identity = identity
	clock := clocker.NewBoot()
	i := newUnwired(config, binder.New(binder.Config{
		URL:             settings.Platform.URL,
		Timeout:         settings.Platform.Timeout.Duration,
		ReadsPerSecond:  settings.Platform.Reads,
		WritesPerSecond: settings.Platform.Writes,
		Now:             clock.Now,
	}), clock.Now)
	if err := i.wireState(); err != nil {
		return nil, err
	}
	i.snapshot = i.spreader.Current
	i.wireAdmission()
	i.wireRequests()
	i.wireLoading()
	i.wireOperators()
	i.registerAllHandlers()
	return i, nil
}

// newUnwired returns an instance with its settings, store, identity and log, but without the other
// parts. Its incarnation is the time of its start, so that it grows with each start.
func newUnwired(config Config, store *storer.Store, now func() time.Time) *Instance {
	settings := config.Settings
	return &Instance{
		started:  time.Now(),
		now:      now,
		settings: settings,
		identity: config.Identity,
		store:    store,
		self: messenger.Sender{
			Name:        settings.Name,
			Domain:      settings.Domain,
			Incarnation: uint64(now().UnixNano()),
		},
		log: logger.New(logger.Config{
			Output:   config.Log,
			Level:    settings.Log.Level,
			Instance: settings.Name,
			Domain:   settings.Domain,
		}),
	}
}
