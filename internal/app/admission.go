package app

import (
	"github.com/buckthorngap/buckthorngap/internal/claimer"
	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/limiter"
	"github.com/buckthorngap/buckthorngap/internal/queuer"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// wireAdmission creates the parts that admit requests: the limiter, the queues and the claimer.
func (i *Instance) wireAdmission() {
	limits := i.settings.Limits
	i.limiter = limiter.New(limiter.Config{
		Self:            i.self,
		Domain:          i.settings.Domain,
		Mode:            limits.Mode,
		Domains:         limits.Domains,
		ReserveFraction: limits.Reserve,
		ReserveCount:    limits.Instances,
		DemandInterval:  limits.Interval.Duration,
		SilenceTimeout:  limits.Silence.Duration,
		DutyCount:       i.settings.Duties.Limits,
		Team:            i.teamLimits,
		Term:            i.limitTerm,
		Owner:           i.owner,
		Members:         i.tracker.Members,
		Call:            i.messenger.Call,
		Store:           i.store,
		Frozen:          i.guard.Frozen,
		Now:             i.now,
		Log:             i.log,
	})
	i.queuer = queuer.New(queuer.Config{
		Pick:                i.pick,
		Drop:                releaseChoice,
		Loaded:              i.loaded,
		MaxWaiting:          i.settings.Waiting.Requests,
		MaxWaitingOvernight: i.settings.Waiting.Overnight,
		Log:                 i.log,
	})
	i.claimer = claimer.New(claimer.Config{
		Self:  i.self,
		Store: i.store,
		Log:   i.log,
	})
}

// teamLimits returns the limits of a team from the configuration in force. The burst includes the
// slack of the settings, except for teams with a flat charge.
func (i *Instance) teamLimits(name string) (configurator.Team, bool) {
	team, ok := i.snapshot().Team(name)
	if ok && !team.Flat {
		team.Burst += i.settings.Limits.Slack
	}
	return team, ok
}

// limitTerm returns this instance's term of a limit duty, also during a freeze of the
// process: if a freeze that is shorter than the term looked like the end of the term, the
// holder would forget which budget it has lent.
func (i *Instance) limitTerm(duty string) (holder.Fence, bool) {
	return fence(i.holder.Held(duty))
}

// term returns this instance's term of a duty, if it may act under it now.
func (i *Instance) term(duty string) (holder.Fence, bool) { return fence(i.holder.Term(duty)) }

func fence(term holder.Term, ok bool) (holder.Fence, bool) {
	if !ok {
		return holder.Fence{}, false
	}
	return term.Fence(), true
}

// pick tries to assign a waiting request to an engine.
func (i *Instance) pick(ticket *queuer.Ticket) (any, bool) {
	need := ticket.Value.(router.Need)
	need.Waits = true
	return i.router.Pick(need)
}

// loaded reports whether some engine has a ready copy of the checkpoint that a request needs.
func (i *Instance) loaded(ticket *queuer.Ticket) bool {
	return i.router.CountReady(ticket.Value.(router.Need)) > 0
}

// releaseChoice releases the placement of a request that left the queue while it was being placed.
func releaseChoice(_ *queuer.Ticket, placement any) {
	placement.(*router.Choice).Done(router.Neutral)
}
