package app

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/adopter"
	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/drainer"
	"github.com/buckthorngap/buckthorngap/internal/dumper"
	"github.com/buckthorngap/buckthorngap/internal/enlister"
	"github.com/buckthorngap/buckthorngap/internal/evacuator"
	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/informer"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/quarantiner"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/relayer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/resumer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/internal/stager"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// FrontConfig configures a Front.
type FrontConfig struct {
	// Settings are the settings; those of parts that a Front lacks are unused.
	Settings parser.Settings
	// Identity is the TLS identity with which the instance authenticates to its peers.
	Identity *certifier.Identity
	// Store is the platform's key-value service.
	Store *storer.Store
	// KeepAuthority writes the authority of Identity to the store if that has none.
	KeepAuthority func(ctx context.Context) error
	// Now is the clock for leases and the detection of freezes. It must advance while the machine
	// is suspended.
	Now func() time.Time
	// Log is the destination of the log.
	Log io.Writer
	// Configuration describes the store entry with the operator's configuration.
	Configuration Document
	// Upstreams describes the store entries with which upstreams register themselves.
	Upstreams Registry
	// EvacuationPrefix is the prefix of the store keys with which an operator evacuates failure domains; empty means that none
	// are.
	EvacuationPrefix string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// HeaderFormat is the protocol with callers: header fields and their encodings.
	HeaderFormat server.HeaderFormat
	// Dialect is the protocol with upstreams: header fields and their encodings.
	Dialect forwarder.Dialect
	// Probe configures the endpoint from which the load balancer reads the readiness.
	Probe dumper.ProbeConfig
	// BodyMemoryBytes is the memory limit for all request bodies together, in bytes.
	BodyMemoryBytes int64
	// RetryCapacity returns the largest number of retries that this instance may accumulate in its retry
	// budget, given the number of instances.
	RetryCapacity func(instances int) float64
	// Order sends an order to an engine.
	Order func(ctx context.Context, engine storer.Instance, order stager.Order) (stager.OrderResult, error)
	// Read fetches an engine's report from the engine itself.
	Read func(ctx context.Context, engine storer.Instance) (reporter.Report, error)
	// WatchInterval is the minimum time between two watches of the store by an instance that does not share
	// its reads with peers. It adds to the time until a configuration is in force and until a leaving
	// upstream gets no new work.
	WatchInterval time.Duration
	// Cores is the processor time that the instance may use, in cores.
	Cores float64
	// GracePeriod is how long a new holder of a duty over engines waits before its first order.
	GracePeriod time.Duration
	// Founding is set if all instances start for the first time.
	Founding bool
	// FinishWithdrawn lets requests finish that are running when their key is withdrawn.
	FinishWithdrawn bool
}

// Front is an entry instance for a platform whose operators write the configuration into the store
// and whose upstreams register themselves there. It shares request handling, limits and duties with
// Instance.
type Front struct {
	*Instance

	config    FrontConfig
	adopter   *adopter.Adopter
	upstreams *lister.Lister
	stager    *stager.Stager
	// quarantiner finds the parts of prompts under which engines crash.
	quarantiner *quarantiner.Quarantiner
	instances   *lister.Lister
	enlister    *enlister.Enlister
	rewriter    *rewriter
	follower    *follower.Follower
	relayer     *relayer.Relayer
	resumer     *resumer.Resumer
	// drainer knows which upstreams have told that they leave.
	drainer *drainer.Drainer
	// informer passes on what this instance has seen of upstreams and failure domains.
	informer *informer.Informer
	// evacuator knows the evacuated failure domains.
	evacuator *evacuator.Evacuator
	probe     *dumper.Probe
	// wasReady is the last readiness that was computed; a change is logged.
	wasReady atomic.Bool
}

// NewFront creates a Front and its parts. Before Run only the socket for peers listens.
func NewFront(config FrontConfig) (*Front, error) {
	settings := config.Settings
	f := &Front{
		config: config,
		Instance: newUnwired(Config{
			Settings: settings,
			Identity: config.Identity,
			Log:      config.Log,
		}, config.Store, config.Now),
	}
	f.wireInformer()
	f.wireEvacuation()
	f.wireStoreSync()
	f.rewriter = &rewriter{
		keep: config.KeepAuthority,
		wake: make(chan struct{}, 1),
		log:  f.log,
	}
	if err := f.wireMessages(); err != nil {
		return nil, err
	}
	f.wireMembership(tracker.Config{
		List: f.listInstances,
		Attachments: []tracker.Attachment{
			{
				Read:   func() []byte { return f.stager.Attachment() },
				Handle: func(from messenger.Peer, attachment []byte) { f.stager.HandleAttachment(from, attachment) },
			},
			f.limitAttachment(),
			{
				Read:   func() []byte { return f.quarantiner.Attachment() },
				Handle: func(from messenger.Peer, attachment []byte) { f.quarantiner.HandleAttachment(from, attachment) },
			},
			{
				Read:   f.adopter.Attachment,
				Handle: f.adopter.HandleAttachment,
			},
			{
				Read:   f.resumer.Attachment,
				Handle: f.resumer.HandleAttachment,
			},
			{
				Read:   f.informer.Attachment,
				Handle: f.informer.HandleAttachment,
			},
		},
	})
	f.wireQuarantine()
	f.wireDuties(append(limiter.Duties(settings.Duties.Limits), stager.Duties(settings.Duties.Placements)...), f.listedInDomain, config.Founding)
	f.wireAdmission()
	f.wireFrontRequests()
	f.wireStager()
	f.wireProbes()
	f.registerHandlers(f.tracker.Handlers(), f.holder.Handlers(), f.limiter.Handlers(), f.stager.Handlers(), f.relayer.Handlers(), f.pacer.Handlers(), f.quarantiner.Handlers(), f.adopter.Handlers(), f.resumer.Handlers())
	enlisted, err := enlister.New(enlister.Config{
		Name:    settings.Name,
		Domain:  settings.Domain,
		Address: f.selfPeer().Address,
		Cores:   config.Cores,
		Store:   config.Store,
		Log:     f.log,
	})
	f.enlister = enlisted
	return f, err
}

// dialTimeout limits the time to connect to an upstream: a round trip and the upstream's own
// work take a few milliseconds; the rest allows for a lost packet.
const dialTimeout = 300 * time.Millisecond

// wireFrontRequests creates the parts that handle a request: router, forwarder and server.
func (f *Front) wireFrontRequests() {
	routing, callers := f.settings.Routing, f.settings.Callers
	f.wirePacer()
	f.router = router.New(router.Config{
		StreamVersions:   f.resumer.Versions,
		Domain:           f.settings.Domain,
		OtherDomains:     true,
		EngineTokens:     f.engineTokens,
		Upstreams:        f.listUpstreams,
		Report:           f.upstreams.Report,
		Admit:            f.pacer.Admit,
		AwaitPermit:      f.pacer.AwaitPermit,
		LimitState:       f.pacer.State,
		RetryTime:        f.pacer.RetryTime,
		ObserveLeaving:   f.drainer.Observe,
		ObserveLimit:     f.pacer.Observe,
		CountSent:        f.pacer.CountSent,
		Changed:          f.dispatchWaiting,
		Paused:           f.refuseCooling,
		AssumedSlots:     routing.Running,
		FailureThreshold: routing.Failures,
		Cooldown:         routing.Cooling.Duration,
		RetryFraction:    routing.Retries,
		RetryCapacity:    f.maxSavedRetries,
	})
	f.forwarder = forwarder.New(forwarder.Config{
		Retry:             f.router.TakeRetry,
		DialTimeout:       dialTimeout,
		Dialect:           f.config.Dialect,
		MaxHeadBytes:      routing.Head,
		MaxAnswerBytes:    routing.Answer,
		AnswerMemoryBytes: routing.Answers,
		MaxEventBytes:     routing.Event,
		Log:               f.log,
	})
	f.server = server.New(server.Config{
		Routed:          true,
		HeaderFormat:    f.config.HeaderFormat,
		Snapshot:        f.adopter.Current,
		ConfigReady:     f.adopter.Ready,
		Reserve:         f.limiter.Reserve,
		Enter:           f.queuer.Enter,
		Place:           f.router.Pick,
		CountCandidates: f.router.CountCandidates,
		CooldownEnd:     f.router.CooldownEnd,
		Limited:         f.router.Limited,
		LimitEnd:        f.router.LimitEnd,
		RetryTime:       f.router.RetryTime,
		Waiting:         f.queuer.Waiting,
		Reacquire:       f.router.PickUpstream,
		SetLoaded:       f.router.SetLoaded,
		Stranded:        f.router.Stranded,
		CountReady:      f.router.CountReady,
		DomainsOf:       f.domainsOf,
		StartLoad: func(ctx context.Context, need router.Need) (time.Time, bool) {
			return f.stager.RequestLoad(ctx, need)
		},
		LoadAdapter: func(ctx context.Context, choice *router.Choice, need router.Need) error {
			return f.stager.LoadAdapter(ctx, choice, need)
		},
		AddDemand:       func(ticket queuer.Ticket) { f.addDemand(ticket) },
		FinishWithdrawn: f.config.FinishWithdrawn,
		Quarantine:      f.quarantineFunctions(),
		Streams: server.Streams{
			Versions:    f.resumer.Versions,
			Resume:      f.resumer.Resume,
			ReportBegun: f.resumer.Began,
		},
		Forwarder:          f.forwarder,
		MaxBodyBytes:       callers.Body,
		BodyMemoryBytes:    f.config.BodyMemoryBytes,
		MaxHeaderBytes:     callers.Headers,
		HeadMemoryBytes:    callers.Heads,
		ReadTimeout:        callers.Reading.Duration,
		InteractiveTimeout: callers.Timeout.Duration,
		MaxConnections:     callers.Connections,
		DrainNotice:        f.settings.Shutdown.Notice.Duration,
		Log:                f.log,
	})
	f.adopter.Subscribe(func(*configurator.Snapshot) { f.server.AbortWithdrawn() })
}

// maxSavedRetries returns the largest number of retries that this instance may accumulate in its
// retry budget, given how many instances are known now.
func (f *Front) maxSavedRetries() float64 { return f.config.RetryCapacity(1 + f.tracker.Count()) }

// engineTokens returns the token capacity of an engine of a service, or 0 for a service without
// engines.
func (f *Front) engineTokens(service string) int64 {
	if record, ok := f.adopter.Current().Service(service); ok && record.Engine != nil {
		return record.Engine.Tokens
	}
	return 0
}

// wireStager creates the stager, which orders engines to load the models that requests wait for.
func (f *Front) wireStager() {
	f.stager = stager.New(stager.Config{
		Self:        f.self,
		Domains:     func() []string { return f.settings.Limits.Domains },
		DutyCount:   f.settings.Duties.Placements,
		Term:        f.term,
		Owner:       f.owner,
		LiveMembers: f.tracker.Alive,
		Call:        f.messenger.Call,
		Snapshot:    f.adopter.Current,
		Upstreams:   f.listUpstreams,
		Row:         f.upstreamRow,
		Order:       f.config.Order,
		Read:        f.config.Read,
		SetLoaded:   f.router.SetLoaded,
		GracePeriod: f.config.GracePeriod,
		Now:         f.now,
		Log:         f.log,
	})
}

// addDemand counts a request as demand for its model, with which the stager decides on loads.
func (f *Front) addDemand(ticket queuer.Ticket) {
	if need, ok := ticket.Value.(router.Need); ok && need.Checkpoint != "" {
		f.stager.AddDemand(need.Checkpoint, need.Adapter, need.Tokens)
	}
}

// wireProbes creates the endpoints for metrics, state dumps and readiness, which the platform and
// operators query.
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
			"evacuations":   f.evacuator.Dump,
			"duties":        f.holder.Dump,
			"limits":        f.limiter.Dump,
			"waiting":       f.queuer.Dump,
			"routing":       f.router.Dump,
			"pacing":        f.pacer.Dump,
			"quarantine":    f.quarantiner.Dump,
			"versions":      f.resumer.Dump,
			"loads":         f.stager.Dump,
			"requests":      f.server.Dump,
		},
		Log: f.log,
	})
	probe := f.config.Probe
	probe.Ready = f.ready
	probe.Log = f.log
	f.probe = dumper.NewProbe(probe)
}

// ready reports whether the load balancer should send requests, and logs each change with the
// conditions that decided it.
func (f *Front) ready() bool {
	configured, serving, listed, budgeted := f.adopter.Ready(), f.server.Ready(), !f.upstreams.Empty(), f.budgetReady()
	ready := configured && serving && listed && budgeted
	if f.wasReady.Swap(ready) == ready {
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

// Run serves until the context ends, then shuts down gracefully as Instance.Run does.
func (f *Front) Run(ctx context.Context) error {
	loops := []func(context.Context) error{
		f.guard.Run,
		f.messenger.Run,
		f.enlister.Run,
		withoutError(f.rewriter.run),
		f.follower.Run,
		withoutError(f.adopter.Run),
		f.tracker.Run,
		f.holder.Run,
		withoutError(f.limiter.Run),
		withoutError(f.stager.Run),
		withoutError(f.pacer.Run),
		withoutError(f.quarantiner.Run),
		withoutError(f.resumer.Run),
		withoutError(f.queuer.Run),
		withoutError(f.forwarder.Run),
		withoutError(f.refreshRouter),
		f.dumper.Run,
		f.probe.Run,
	}
	return f.run(ctx, loops)
}

// LogRefusedReload logs that changed settings are invalid and that the former settings stay in use.
func (f *Front) LogRefusedReload(err error) { f.log.WithError(err).Error("reload.refused") }

// LogReload logs which settings were changed while the process runs. The changes take effect only at
// the next start.
func (f *Front) LogReload(settings parser.Settings) {
	f.log.WithFields(logrus.Fields{
		"differs": settings.Difference(f.settings),
	}).Info("reloaded")
}
