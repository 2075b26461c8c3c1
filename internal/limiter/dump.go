package limiter

// State is the state dump of a Limiter for operators.
type State struct {
	// Mode is how budgets are divided.
	Mode string `json:"mode"`
	// Teams are the local balances, in tokens.
	Teams []TeamState `json:"teams"`
	// Duties are the limit duties.
	Duties []DutyState `json:"duties"`
}

// TeamState is the local balance of one team, in tokens.
type TeamState struct {
	// Name is the team.
	Name string `json:"name"`
	// Loan and Reserve are the tokens that are available now; Loan is negative for a debt.
	Loan    float64 `json:"loan"`
	Reserve float64 `json:"reserve"`
	// ReserveActive reports whether the reserve may be spent.
	ReserveActive bool `json:"standing"`
	// Waiting is the number of reservations that wait for a loan.
	Waiting int `json:"waiting"`
}

// DutyState is the state of one limit duty: the role that lends the domain's budget, held by one instance
// under a lease.
type DutyState struct {
	// Name is the duty.
	Name string `json:"name"`
	// Suspended is set while the reserves need confirmation.
	Suspended bool `json:"suspended"`
	// Epoch is the highest epoch (fencing token of a term) to which this instance sent a demand.
	Epoch uint64 `json:"epoch"`
	// Held is the epoch of the instance's own term; zero if it does not hold the duty.
	Held uint64 `json:"held"`
	// Members are the instances that may hold loans, if the duty is held here; the value reports whether they
	// have a reserve.
	Members map[string]bool `json:"members,omitempty"`
	// Owed is the fraction of the burst that holders of earlier epochs may have lent and that is not accounted
	// for yet.
	Owed float64 `json:"owed,omitempty"`
	// Pools are the tokens left to lend, by team.
	Pools map[string]float64 `json:"pools,omitempty"`
}

// Dump returns a State.
func (l *Limiter) Dump() any {
	state := State{
		Mode: l.config.Mode,
	}
	for i := range l.shards {
		state.Teams = append(state.Teams, l.shards[i].dump()...)
	}
	for i := range l.lenders {
		state.Duties = append(state.Duties, l.dumpDuty(i))
	}
	return state
}

func (s *shard) dump() []TeamState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	teams := make([]TeamState, 0, len(s.buckets))
	for _, b := range s.buckets {
		teams = append(teams, b.dump())
	}
	return teams
}

func (b *bucket) dump() TeamState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return TeamState{
		Name:          b.team,
		Loan:          b.loan,
		Reserve:       b.reserve.level,
		ReserveActive: b.reserveActive,
		Waiting:       len(b.queue),
	}
}

func (l *Limiter) dumpDuty(number int) DutyState {
	state := l.lenders[number].dump()
	b := l.borrowers[number]
	b.mu.Lock()
	defer b.mu.Unlock()
	state.Suspended = b.suspended
	state.Epoch = b.epoch
	return state
}

func (l *lender) dump() DutyState {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := l.table.clone()
	state := DutyState{
		Name:    l.duty,
		Held:    l.epoch,
		Members: copied.Members,
		Owed:    copied.debtFraction(),
		Pools:   make(map[string]float64, len(l.pools)),
	}
	for team, p := range l.pools {
		state.Pools[team] = p.level
	}
	return state
}
