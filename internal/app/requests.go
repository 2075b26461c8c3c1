package app

import (
	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// wireRequests creates the parts that handle a request: the reporter of upstreams' load, the router
// that picks an upstream, the forwarder and the server for callers.
func (i *Instance) wireRequests() {
	routing, callers := i.settings.Routing, i.settings.Callers
	i.reporter = reporter.New(reporter.Config{
		Self:         i.settings.Name,
		Domain:       i.settings.Domain,
		Upstreams:    i.tracker.Upstreams,
		Members:      i.tracker.Members,
		Call:         i.messenger.Call,
		Interval:     routing.Interval.Duration,
		Changed:      func(upstream string) { i.router.Update(upstream) },
		OnCacheEvent: func(upstream, prefix string, stored bool) { i.router.RecordCacheEvent(upstream, prefix, stored) },
		Log:          i.log,
	})
	i.wirePacer()
	i.router = router.New(router.Config{
		Domain:           i.settings.Domain,
		Upstreams:        i.tracker.Upstreams,
		Report:           i.reporter.Report,
		Admit:            i.pacer.Admit,
		AwaitPermit:      i.pacer.AwaitPermit,
		LimitState:       i.pacer.State,
		RetryTime:        i.pacer.RetryTime,
		ObserveLimit:     i.pacer.Observe,
		CountSent:        i.pacer.CountSent,
		Changed:          i.dispatchWaiting,
		Paused:           i.refuseCooling,
		AssumedSlots:     routing.Running,
		FailureThreshold: routing.Failures,
		Cooldown:         routing.Cooling.Duration,
		RetryFraction:    routing.Retries,
	})
	i.forwarder = forwarder.New(forwarder.Config{
		Pick:              i.router.Pick,
		PickService:       i.router.PickService,
		Retry:             i.router.TakeRetry,
		MaxHeadBytes:      i.settings.Routing.Head,
		MaxAnswerBytes:    i.settings.Routing.Answer,
		AnswerMemoryBytes: i.settings.Routing.Answers,
		MaxEventBytes:     i.settings.Routing.Event,
		Log:               i.log,
	})
	i.server = server.New(server.Config{
		Snapshot:           i.spreader.Current,
		ConfigReady:        i.spreader.Ready,
		Reserve:            i.limiter.Reserve,
		Enter:              i.queuer.Enter,
		AddDemand:          i.addDemand,
		DomainsOf:          i.domainsOf,
		Claim:              i.claimer.Claim,
		AwaitService:       i.router.AwaitService,
		Limited:            i.router.Limited,
		LimitEnd:           i.router.LimitEnd,
		RetryTime:          i.router.RetryTime,
		Waiting:            i.queuer.Waiting,
		Forwarder:          i.forwarder,
		MaxBodyBytes:       callers.Body,
		MaxHeaderBytes:     callers.Headers,
		HeadMemoryBytes:    callers.Heads,
		ReadTimeout:        callers.Reading.Duration,
		InteractiveTimeout: callers.Timeout.Duration,
		OvernightTimeout:   callers.Overnight.Duration,
		MaxConnections:     callers.Connections,
		AnswerTokens:       callers.Tokens,
		DrainNotice:        i.settings.Shutdown.Notice.Duration,
		Log:                i.log,
	})
	i.spreader.Subscribe(func(*configurator.Snapshot) { i.server.AbortWithdrawn() })
}

// wirePacer creates the pacer, which keeps to the request rates that upstreams state.
func (i *Instance) wirePacer() {
	i.pacer = pacer.New(pacer.Config{
		Self:        i.self,
		Duties:      limiter.Duties(i.settings.Duties.Limits),
		Term:        i.term,
		Owner:       i.owner,
		Domains:     i.settings.Limits.Domains,
		LiveMembers: i.tracker.Alive,
		Call:        i.messenger.Call,
		Instances:   func() int { return 1 + i.tracker.Count() },
		Listed:      func(upstream pacer.Upstream) bool { return i.router.Lists(upstream) },
		Changed:     i.dispatchWaiting,
		Denied:      i.refuseLimited,
		Log:         i.log,
	})
}

// refuseLimited refuses the waiting requests for which the limits of all their upstreams leave no room in time.
func (i *Instance) refuseLimited() { i.queuer.RefuseWaiting(i.server.RefuseLimited) }

// refuseCooling refuses the waiting requests of which no upstream wants any now.
func (i *Instance) refuseCooling() { i.queuer.RefuseWaiting(i.server.RefuseCooling) }

// dispatchWaiting makes waiting requests of all models try again after an upstream has gained capacity.
func (i *Instance) dispatchWaiting() { i.queuer.Dispatch("") }
