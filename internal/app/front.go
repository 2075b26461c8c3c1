package app

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/adopter"
	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/dumper"
	"github.com/buckthorngap/buckthorngap/internal/enlister"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/relayer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/internal/stager"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// FrontConfig is what a Front needs.
type FrontConfig struct {
	// Settings are the settings; those of parts that a Front has not are unused.
	Settings parser.Settings
	// Identity proves the instance to its peers.
	Identity *certifier.Identity
	// Store is the platform's key-value service.
	Store *storer.Store
	// Now is the clock of leases and freezes, which must count suspensions.
	Now func() time.Time
	// Log receives the log.
	Log io.Writer
	// Configuration is where the operator's configuration stands in the store.
	Configuration Document
	// Upstreams is where upstreams register themselves in the store.
	Upstreams Registry
	// Face is how callers and the product tell each other of requests.
	Face server.HeaderFormat
	// Dialect is how upstreams and the product do.
	Dialect forwarder.Dialect
	// Probe is what the balancer asks for readiness.
	Probe dumper.ProbeConfig
	// Bodies is the memory for all request bodies together, in bytes.
	Bodies int64
	// Saved returns the number of retries that this instance may save up, given
	// the number of instances.
	Saved func(instances int) float64
	// Order sends an order to an engine.
	Order func(ctx context.Context, engine storer.Instance, order stager.Order) (stager.Answer, error)
	// Read reads an engine's own report.
	Read func(ctx context.Context, engine storer.Instance) (reporter.Report, error)
	// Pause is the least time between two watches of the store by an instance that
	// reads for itself alone. It adds to the time until a configuration is in force
	// and a leaving upstream gets no new work.
	Pause time.Duration
	// Share is the processor share that the instance may use, in cores.
	Share float64
	// Quiet is how long a new holder of engines waits before its first order.
	Quiet time.Duration
	// Lenient lets requests that run when their key is withdrawn finish.
	Lenient bool
}

// Front is an instance on a platform whose operators write the configuration
// into the store and whose upstreams register themselves there. It shares the
// path of requests, limits and duties with Instance.
type Front struct {
	*Instance

	config    FrontConfig
	adopter   *adopter.Adopter
	upstreams *lister.Lister
	stager    *stager.Stager
	instances *lister.Lister
	enlister  *enlister.Enlister
	follower  *follower.Follower
	relayer   *relayer.Relayer
	probe     *dumper.Probe
	// readied is what the balancer was told last.
	readied atomic.Bool
}

// NewFront wires a Front; nothing but the socket for peers listens before Run.
func NewFront(config FrontConfig) (*Front, error) {
	settings := config.Settings
	f := &Front{
		config: config,
		Instance: bare(Config{
			Settings: settings,
			Identity: config.Identity,
			Log:      config.Log,
		}, config.Store, config.Now),
	}
	f.follow()
	if err := f.wireMessages(); err != nil {
		return nil, err
	}
	f.wireMembership(tracker.Config{
		List:    f.listInstances,
		Attach:  func() []byte { return f.stager.Digest() },
		Deliver: func(from messenger.Peer, digest []byte) { f.stager.Deliver(from, digest) },
	})
	f.wireDuties(append(limiter.Duties(settings.Duties.Limits), stager.Duties(settings.Duties.Placements)...), f.listed)
	f.wireAdmission()
	f.wireFrontRequests()
	f.wireStages()
	f.wireProbes()
	f.answer(f.tracker.Handlers(), f.holder.Handlers(), f.limiter.Handlers(), f.stager.Handlers(), f.relayer.Handlers())
	made, err := enlister.New(enlister.Config{
		Name:    settings.Name,
		Domain:  settings.Domain,
		Address: f.selfPeer().Address,
		Share:   config.Share,
		Store:   config.Store,
		Log:     f.log,
	})
	f.enlister = made
	return f, err
}

// dialTime is how long a connection to an upstream may take: a round trip and
// the upstream's own work, a few milliseconds, with room for a lost packet.
const dialTime = 300 * time.Millisecond

// wireFrontRequests makes the path of a request.
func (f *Front) wireFrontRequests() {
	routing, callers := f.settings.Routing, f.settings.Callers
	f.router = router.New(router.Config{
		Domain:        f.settings.Domain,
		OtherDomains:  true,
		Tokens:        f.engineTokens,
		Upstreams:     f.upstreams.Upstreams,
		Report:        f.upstreams.Report,
		Changed:       f.kick,
		Running:       routing.Running,
		Failures:      routing.Failures,
		Cooling:       routing.Cooling.Duration,
		Retries:       routing.Retries,
		RetryCapacity: f.saved,
	})
	f.forwarder = forwarder.New(forwarder.Config{
		Retry:   f.router.Retry,
		Dial:    dialTime,
		Dialect: f.config.Dialect,
		Answer:  routing.Answer,
		Event:   routing.Event,
		Log:     f.log,
	})
	f.server = server.New(server.Config{
		Routed:       true,
		HeaderFormat: f.config.Face,
		Snapshot:     f.adopter.Current,
		Known:        f.adopter.Ready,
		Reserve:      f.limiter.Reserve,
		Enter:        f.queuer.Enter,
		Place:        f.router.Pick,
		State:        f.router.State,
		Cooling:      f.router.Rest,
		Reacquire:    f.router.PickUpstream,
		SetHeld:      f.router.SetLoaded,
		Ready:        f.router.Ready,
		StartLoad: func(ctx context.Context, service, checkpoint string) (time.Time, bool) {
			return f.stager.Expect(ctx, service, checkpoint)
		},
		Prepare: func(ctx context.Context, choice *router.Choice, need router.Need) error {
			return f.stager.Prepare(ctx, choice, need)
		},
		AddDemand:   func(ticket queuer.Ticket) { f.want(ticket) },
		Lenient:     f.config.Lenient,
		Forwarder:   f.forwarder,
		Body:        callers.Body,
		Bodies:      f.config.Bodies,
		Headers:     callers.Headers,
		Reading:     callers.Reading.Duration,
		Timeout:     callers.Timeout.Duration,
		Connections: callers.Connections,
		Notice:      f.settings.Shutdown.Notice.Duration,
		Log:         f.log,
	})
	f.adopter.Subscribe(func(*configurator.Snapshot) { f.server.AbortWithdrawn() })
}

// saved is the number of retries that this instance may save up.
func (f *Front) saved() float64 { return f.config.Saved(1 + f.tracker.Count()) }

func (f *Front) engineTokens(service string) int64 {
	if found, ok := f.adopter.Current().Service(service); ok && found.Engine != nil {
		return found.Engine.Tokens
	}
	return 0
}

// wireStages makes what has engines load what requests wait for.
func (f *Front) wireStages() {
	f.stager = stager.New(stager.Config{
		Self:        f.self,
		Domains:     func() []string { return f.settings.Limits.Domains },
		Groups:      f.settings.Duties.Placements,
		Term:        f.term,
		Owner:       f.owner,
		Alive:       f.tracker.Alive,
		Call:        f.messenger.Call,
		Snapshot:    f.adopter.Current,
		Upstreams:   f.upstreams.Upstreams,
		Row:         f.upstreams.Row,
		Order:       f.config.Order,
		Read:        f.config.Read,
		Note:        f.router.SetLoaded,
		GracePeriod: f.config.Quiet,
		Now:         f.now,
		Log:         f.log,
	})
}

// want counts a request for a model.
func (f *Front) want(ticket queuer.Ticket) {
	if need, ok := ticket.Value.(router.Need); ok && need.Checkpoint != "" {
		f.stager.AddDemand(need.Checkpoint, need.Adapter, need.Tokens)
	}
}

// wireProbes makes what the platform and operators ask of the instance.
func (f *Front) wireProbes() {
	f.dumper = dumper.New(dumper.Config{
		Listen: f.settings.Admin.Listen,
		Ready:  f.ready,
		Parts: map[string]func() any{
			"settings":      func() any { return f.settings },
			"messages":      f.messenger.Dump,
			"membership":    f.tracker.Dump,
			"configuration": f.adopter.Dump,
			"store":         f.relayer.Dump,
			"upstreams":     f.upstreams.Dump,
			"duties":        f.holder.Dump,
			"limits":        f.limiter.Dump,
			"waiting":       f.queuer.Dump,
			"routing":       f.router.Dump,
			"loads":         f.stager.Dump,
			"requests":      f.server.Dump,
		},
		Log: f.log,
	})
	probe := f.config.Probe
	probe.Ready = f.ready
	f.probe = dumper.NewProbe(probe)
}

// ready tells whether the balancer should send requests, and logs each change
// with what decided it.
func (f *Front) ready() bool {
	configured, serving, listed, budgeted := f.adopter.Ready(), f.server.Ready(), !f.upstreams.Empty(), f.budgeted()
	ready := configured && serving && listed && budgeted
	if f.readied.Swap(ready) == ready {
		return ready
	}
	log := f.log.WithFields(logrus.Fields{
		"configuration": configured,
		"serving":       serving,
		"upstreams":     listed,
		"budget":        budgeted,
		"revision":      f.adopter.Current().Revision(),
		"since":         time.Since(f.started).Round(time.Millisecond),
	})
	if ready {
		log.Info("ready")
		return true
	}
	log.Warn("unready")
	return false
}

// Run serves until the context ends, then shuts down as Instance.Run does.
func (f *Front) Run(ctx context.Context) error {
	parts := []func(context.Context) error{
		f.guard.Run,
		f.messenger.Run,
		f.enlister.Run,
		f.follower.Run,
		f.tracker.Run,
		f.holder.Run,
		endless(f.limiter.Run),
		endless(f.stager.Run),
		endless(f.queuer.Run),
		endless(f.forwarder.Run),
		endless(f.refreshRouter),
		f.dumper.Run,
		f.probe.Run,
	}
	return f.run(ctx, parts)
}

// Keep notes that changed settings cannot be used, and that the old ones hold.
func (f *Front) Keep(err error) { f.log.WithError(err).Error("reload.refused") }

// Reload notes that the settings were changed while the process runs. What is
// changed stays as it was until the next start; the log says so.
func (f *Front) Reload(settings parser.Settings) {
	f.log.WithFields(logrus.Fields{
		"differs": settings.Difference(f.settings),
	}).Info("reloaded")
}
