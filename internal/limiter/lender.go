package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// lender divides the domain's budget of a duty's teams while the instance holds the duty. Every epoch starts
// with empty pools.
type lender struct {
	limiter *Limiter
	// number is the duty's index within the failure domain, duty its name.
	number int
	duty   string
	// key is the key of the table in the store.
	key string

	mu sync.Mutex
	// epoch is the epoch of the state below; zero if the duty is not held.
	epoch uint64
	// start is when the table of the epoch was first known to be stored; before, when the epoch's state was
	// created.
	start time.Time
	// ready is set once the table of the epoch is known to be stored; nothing is lent before.
	ready bool
	// table is the stored document; pending is the version being written, which differs while the outcome of
	// a write is not known.
	table    dutyTable
	pending  dutyTable
	revision storer.Revision
	// loaded is set while table and revision match the store.
	loaded bool
	// retryAt is when the store may be called again after a failure.
	retryAt time.Time
	// records are the instances that sent a demand in the epoch, by name.
	records map[string]*instanceRecord
	// pools are by team.
	pools     map[string]*pool
	shares    shares
	requester requester
}

// serve answers one demand. It returns a *NotHolder or a *Stale if it does not accept the demand.
func (l *lender) serve(from messenger.Sender, demand *limiterpb.Demand) (*limiterpb.Grant, error) {
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkTerm(now, demand.GetEpoch()); err != nil {
		return nil, err
	}
	rec := l.record(from.Name)
	accepted, newSession := rec.accept(from.Incarnation, demand)
	if !accepted && !l.limiter.acceptStale {
		return nil, &Stale{
			Name: from.Name,
		}
	}
	if newSession {
		l.clearLoans(rec)
	}
	if rec.removed {
		return &limiterpb.Grant{
			Void: true,
		}, nil
	}
	l.limiter.metrics.demandsServed.Inc()
	l.applyDemand(now, from.Name, rec, demand)
	if !l.isMember(from.Name) || demand.GetLeaving() {
		return &limiterpb.Grant{}, nil
	}
	return l.grantLoans(now, rec, demand, from.Name), nil
}

// checkTerm returns an error unless the instance holds the duty in the given epoch at or after now. The
// caller holds the lock.
func (l *lender) checkTerm(now time.Time, epoch uint64) error {
	term, ok := l.limiter.config.Term(l.duty)
	if !ok || term.Epoch != epoch {
		return &NotHolder{
			Duty:  l.duty,
			Epoch: epoch,
		}
	}
	if term.Epoch != l.epoch {
		l.startEpoch(term.Epoch, now)
	}
	if l.limiter.skipTermCheck {
		return nil
	}
	if err := term.Check(); err != nil {
		return &NotHolder{
			Duty:  l.duty,
			Epoch: epoch,
			Cause: err,
		}
	}
	return nil
}

// startEpoch discards the state of the former epoch.
func (l *lender) startEpoch(epoch uint64, now time.Time) {
	l.epoch = epoch
	l.start = now
	l.ready = false
	l.loaded = false
	l.table = dutyTable{}
	l.pending = dutyTable{}
	l.retryAt = time.Time{}
	l.records = make(map[string]*instanceRecord)
	l.pools = make(map[string]*pool)
	l.shares = shares{}
}

// record returns the record of an instance and creates it if necessary.
func (l *lender) record(name string) *instanceRecord {
	rec := l.records[name]
	if rec == nil {
		rec = &instanceRecord{
			accounts: make(map[string]*loanAccount),
		}
		l.records[name] = rec
	}
	return rec
}

// applyDemand updates the record of an instance, and the pools, with what it reports.
func (l *lender) applyDemand(now time.Time, name string, rec *instanceRecord, demand *limiterpb.Demand) {
	rec.lastDemand = now
	for _, want := range demand.GetWants() {
		p := l.pool(now, want.GetTeam())
		if p == nil {
			continue
		}
		p.report(rec.account(want.GetTeam()), want)
	}
	rec.reported = true
	l.table.clearDebts(name)
	if demand.GetLeaving() {
		rec.leaving = true
		l.clearLoans(rec)
	}
}

// grantLoans lends tokens to a member as far as the pools allow.
func (l *lender) grantLoans(now time.Time, rec *instanceRecord, demand *limiterpb.Demand, name string) *limiterpb.Grant {
	grant := &limiterpb.Grant{
		Member:  true,
		Reserve: l.table.Members[name] && l.pending.Members[name],
	}
	for _, want := range demand.GetWants() {
		p := l.pool(now, want.GetTeam())
		if p == nil {
			continue
		}
		acct := rec.account(want.GetTeam())
		p.lend(acct, want, len(l.table.Members))
		grant.Loans = append(grant.Loans, p.loanMessage(want.GetTeam(), acct))
	}
	return grant
}

// isMember reports whether the store records that the instance may hold loans.
func (l *lender) isMember(name string) bool {
	if !l.ready {
		return false
	}
	_, stored := l.table.Members[name]
	_, pending := l.pending.Members[name]
	return stored && pending
}

// clearLoans discards the loans of an instance.
func (l *lender) clearLoans(rec *instanceRecord) {
	for team, acct := range rec.accounts {
		if p := l.pools[team]; p != nil {
			p.clear(acct)
		}
	}
	rec.accounts = make(map[string]*loanAccount)
}

// pool returns the pool of a team, accrued up to now, or nil if the team does not exist.
func (l *lender) pool(now time.Time, team string) *pool {
	p := l.pools[team]
	limits, ok := l.limiter.config.Team(team)
	if p == nil {
		if !ok {
			return nil
		}
		p = &pool{
			account: account{
				factor:  1,
				era:     l.epoch << eraBits,
				updated: l.start,
			},
			limits: limits,
		}
		l.pools[team] = p
		l.updateBudget(p)
	}
	if limits.Rate != p.limits.Rate || limits.Burst != p.limits.Burst {
		p.setLimits(now, limits)
	}
	p.transfers.expire(now)
	l.updateBudget(p)
	p.accrue(now)
	return p
}

// eraBits is the number of low bits of an era that count within its epoch.
const eraBits = 20

// updateBudget sets the rate and the bound of a pool: the domain's budget less the reserves, the loans, the debts
// of former epochs and the recent transfers.
func (l *lender) updateBudget(p *pool) {
	fraction := l.shares.fraction(p.limits.Name, l.limiter.rule.equalShare())
	reserves := float64(max(l.table.reserves(), l.pending.reserves())) * l.limiter.rule.reserveFraction()
	burst := float64(p.limits.Burst)
	p.burstShare = fraction * burst
	p.rate = max(0, fraction-reserves) * p.limits.Rate
	p.unreservedBurst = max(0, fraction-reserves) * burst
	p.maxLoan = (1 - l.limiter.rule.reservedFraction) * lendFraction * p.burstShare
	p.maxOutstanding = min(min(l.table.LendLimit, l.pending.LendLimit)*p.burstShare, p.unreservedBurst)
	p.otherDomainsRate = 0
	if l.requester.enabled() {
		p.otherDomainsRate = max(0, 1-fraction) * p.limits.Rate
	}
	p.debt = l.table.debtFraction() * p.burstShare
	if l.limiter.ignoreDebts {
		p.debt = 0
	}
	if !l.ready {
		p.rate = 0
	}
	p.updateBound()
}

// run maintains the table of the duty and requests budget from other domains while the instance holds the
// duty.
func (l *lender) run(ctx context.Context) {
	ticker := time.NewTicker(l.limiter.config.DemandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.maintain(ctx)
			l.requester.request(ctx)
		}
	}
}
