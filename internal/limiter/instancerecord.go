package limiter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
)

// instanceRecord is what the holder of a duty has recorded of one instance in its epoch.
type instanceRecord struct {
	// incarnation, session and sequence are those of the latest accepted demand.
	incarnation uint64
	session     uint64
	sequence    uint64
	// lastDemand is when the last demand of the instance arrived.
	lastDemand time.Time
	// reported is set once the instance has reported its loans.
	reported bool
	// removed is set when the instance was removed as a member; demands of its session are answered as void.
	removed bool
	// leaving is set once the instance has announced its shutdown.
	leaving  bool
	accounts map[string]*loanAccount
}

// loanAccount is the holder's account of one team's loans to one instance, in tokens.
type loanAccount struct {
	// outstanding is an upper bound of the loans that the instance holds.
	outstanding float64
	// granted is the total lent in the session.
	granted float64
	// returned is the total given back in the session.
	returned float64
	// opened, closed and refunded are the counters of the era as last reported, as in counters.
	era      uint64
	opened   float64
	closed   float64
	refunded float64
}

// accept checks that a demand is newer than all before, and reports whether it begins a new session.
func (r *instanceRecord) accept(incarnation uint64, demand *limiterpb.Demand) (accepted, newSession bool) {
	if incarnation < r.incarnation {
		return false, false
	}
	newSession = incarnation > r.incarnation || demand.GetSession() > r.session
	if !newSession && (demand.GetSession() < r.session || demand.GetSequence() <= r.sequence) {
		return false, false
	}
	if newSession {
		r.incarnation = incarnation
		r.session = demand.GetSession()
		r.removed = false
		r.leaving = false
	}
	r.sequence = demand.GetSequence()
	return true, newSession
}

// account returns the account of a team and creates it if necessary.
func (r *instanceRecord) account(team string) *loanAccount {
	acct := r.accounts[team]
	if acct == nil {
		acct = &loanAccount{}
		r.accounts[team] = acct
	}
	return acct
}
