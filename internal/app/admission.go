package app

import (
	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// wireAdmission makes what admits requests: limits, queues and claims.
func (i *Instance) wireAdmission() {
	limits := i.settings.Limits
	i.limiter = limiter.New(limiter.Config{
		Self:      i.self,
		Domain:    i.settings.Domain,
		Mode:      limits.Mode,
		Domains:   limits.Domains,
		Reserve:   limits.Reserve,
		Instances: limits.Instances,
		Interval:  limits.Interval.Duration,
		Silence:   limits.Silence.Duration,
		Duties:    i.settings.Duties.Limits,
		Team:      i.limits,
		Term:      i.limitTerm,
		Owner:     i.owner,
		Members:   i.tracker.Members,
		Call:      i.messenger.Call,
		Store:     i.store,
		Frozen:    i.guard.Frozen,
		Now:       i.now,
		Log:       i.log,
	})
	i.queuer = queuer.New(queuer.Config{
		Pick:      i.pick,
		Drop:      dropChoice,
		Loaded:    i.loaded,
		Requests:  i.settings.Waiting.Requests,
		Overnight: i.settings.Waiting.Overnight,
		Log:       i.log,
	})
	i.claimer = claimer.New(claimer.Config{
		Self:  i.self,
		Store: i.store,
		Log:   i.log,
	})
}

// limits are those of a team in force, with the slack of the settings.
func (i *Instance) limits(name string) (configurator.Team, bool) {
	team, ok := i.snapshot().Team(name)
	if ok && !team.Flat {
		team.Burst += i.settings.Limits.Slack
	}
	return team, ok
}

// limitTerm is the term of a limit duty. A freeze that the term outlasts must
// not look like its end, else the holder would forget what it has lent.
func (i *Instance) limitTerm(duty string) (holder.Fence, bool) {
	return fence(i.holder.Held(duty))
}

// term is the instance's own term of a duty.
func (i *Instance) term(duty string) (holder.Fence, bool) { return fence(i.holder.Term(duty)) }

func fence(term holder.Term, ok bool) (holder.Fence, bool) {
	if !ok {
		return holder.Fence{}, false
	}
	return term.Fence(), true
}

// pick tries to place a waiting request on an engine.
func (i *Instance) pick(ticket *queuer.Ticket) (any, bool) {
	return i.router.Pick(ticket.Value.(router.Need))
}

// loaded tells whether a copy of what a request needs is ready.
func (i *Instance) loaded(ticket *queuer.Ticket) bool {
	return i.router.Ready(ticket.Value.(router.Need).Checkpoint) > 0
}

// dropChoice gives back the place of a request that left the queue meanwhile.
func dropChoice(_ *queuer.Ticket, placement any) {
	placement.(*router.Choice).Done(router.Neutral)
}
