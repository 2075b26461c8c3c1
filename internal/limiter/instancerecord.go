package limiter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
)

// record is the holder's knowledge of one instance in its epoch.
type record struct {
	incarnation uint64
	session     uint64
	sequence    uint64
	// heard is when the last demand of the instance arrived.
	heard time.Time
	// reported is set once the instance has reported its loans.
	reported bool
	// dropped is set when the instance was removed as a member; demands of its session are answered as void.
	dropped bool
	// leaving is set once the instance has announced its shutdown.
	leaving  bool
	accounts map[string]*loanAccount
}

// loanAccount is the account of one team at one instance, in tokens.
type loanAccount struct {
	// outstanding is an upper bound of the loans that the instance holds.
	outstanding float64
	// granted is the total lent in the session.
	granted float64
	// returned is the total credited back in the session.
	returned float64
	// era is the era of the counters below.
	era      uint64
	opened   float64
	closed   float64
	refunded float64
}

// accept checks that a demand is newer than all before, and reports whether it begins a new session.
func (r *record) accept(incarnation uint64, demand *limiterpb.Demand) (accepted, newSession bool) {
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
		r.dropped = false
		r.leaving = false
	}
	r.sequence = demand.GetSequence()
	return true, newSession
}

// account returns the account of a team and creates it if necessary.
func (r *record) account(team string) *loanAccount {
	acct := r.accounts[team]
	if acct == nil {
		acct = &loanAccount{}
		r.accounts[team] = acct
	}
	return acct
}
