package limiter

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// storeRetry is the time between attempts to reach the store after a failure.
const storeRetry = 500 * time.Millisecond

// maintain loads the table of a new epoch, removes silent members, adds new ones and writes the table if it
// changed.
func (l *lender) maintain(ctx context.Context) {
	now := l.limiter.config.Now()
	l.mu.Lock()
	if !l.holdsDuty(now) || now.Before(l.retryAt) {
		l.mu.Unlock()
		return
	}
	epoch, loaded := l.epoch, l.loaded
	l.mu.Unlock()
	if !loaded {
		l.loadTable(ctx, epoch)
		return
	}
	l.mu.Lock()
	next, changed := l.planTable(now)
	expected := l.revision
	if changed {
		l.pending = next
		l.updatePools(now)
	}
	l.mu.Unlock()
	if changed {
		l.writeTable(ctx, epoch, next, expected)
	}
}

// holdsDuty reports whether the instance may act as the holder of the duty. It starts a new epoch if the term has
// one, and discards the state if there is no term. While only the term's check fails, the state is kept.
func (l *lender) holdsDuty(now time.Time) bool {
	term, ok := l.limiter.config.Term(l.duty)
	if !ok {
		l.startEpoch(0, now)
		return false
	}
	return l.checkTerm(now, term.Epoch) == nil
}

// loadTable reads the table from the store; in a new epoch it takes over from the former holder.
func (l *lender) loadTable(ctx context.Context, epoch uint64) {
	entry, err := l.limiter.config.Store.Get(ctx, l.key)
	stored := dutyTable{}
	var absent *storer.Absent
	switch {
	case errors.As(err, &absent):
		entry.Revision = 0
	case err != nil:
		l.scheduleReload(epoch)
		return
	case json.Unmarshal(entry.Value, &stored) != nil:
		l.limiter.event("limit.unreadable", logrus.Fields{
			"key": l.key,
		})
		l.scheduleReload(epoch)
		return
	}
	l.adoptTable(ctx, epoch, stored, entry.Revision)
}

// adoptTable installs the stored table if it is of this epoch, and writes its successor if it is of an earlier
// one.
func (l *lender) adoptTable(ctx context.Context, epoch uint64, stored dutyTable, revision storer.Revision) {
	now := l.limiter.config.Now()
	l.mu.Lock()
	if l.epoch != epoch || stored.Epoch > epoch {
		l.mu.Unlock()
		return
	}
	if stored.Epoch == epoch {
		l.installTable(now, stored, revision)
		l.mu.Unlock()
		return
	}
	if holder.EpochEra(stored.Epoch) < holder.EpochEra(epoch) && !l.limiter.ignoreRestored {
		stored = stored.completed(l.domainInstances(), 1-l.limiter.rule.reservedFraction)
	}
	next := stored.successor(epoch, 1-l.limiter.rule.reservedFraction)
	l.mu.Unlock()
	l.writeTable(ctx, epoch, next, revision)
}

// domainInstances returns the names of the known instances of the failure domain, with this one.
func (l *lender) domainInstances() []string {
	names := []string{l.limiter.config.Self.Name}
	if l.limiter.config.Members == nil {
		return names
	}
	for _, m := range l.limiter.config.Members() {
		if m.Domain == l.limiter.config.Self.Domain {
			names = append(names, m.Peer.Name)
		}
	}
	return names
}

// writeTable replaces the stored table with a compare-and-swap. If the outcome is unknown, the table is read
// back later.
func (l *lender) writeTable(ctx context.Context, epoch uint64, next dutyTable, expected storer.Revision) {
	next.WriteID = fmt.Sprintf("%s/%d/%d", l.limiter.config.Self.Name, l.limiter.config.Self.Incarnation, l.limiter.serial.Add(1))
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	entry, err := l.limiter.config.Store.Swap(ctx, storer.Swap{
		Key:      l.key,
		Value:    value,
		Expected: expected,
	})
	if err != nil {
		l.scheduleReload(epoch)
		return
	}
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == epoch {
		l.installTable(now, next, entry.Revision)
	}
}

// installTable puts a table into force that the store is known to hold.
func (l *lender) installTable(now time.Time, stored dutyTable, revision storer.Revision) {
	if !l.ready {
		l.ready = true
		l.start = now
	}
	l.accrueAll(now)
	l.table = stored.clone()
	l.pending = stored.clone()
	l.revision = revision
	l.loaded = true
	for name, rec := range l.records {
		if rec.reported {
			l.table.clearDebts(name)
		}
	}
	l.updatePools(now)
}

// accrueAll accrues all pools up to now at the rates in force.
func (l *lender) accrueAll(now time.Time) {
	for _, p := range l.pools {
		p.accrue(now)
	}
}

// updatePools applies a changed table to all pools.
func (l *lender) updatePools(now time.Time) {
	l.accrueAll(now)
	for _, p := range l.pools {
		p.updated = now
		l.updateBudget(p)
	}
}

// scheduleReload makes maintain read the table again after storeRetry.
func (l *lender) scheduleReload(epoch uint64) {
	now := l.limiter.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != epoch {
		return
	}
	l.loaded = false
	l.retryAt = now.Add(storeRetry)
}

// planTable returns the table that should be stored, and whether it differs from the stored one.
func (l *lender) planTable(now time.Time) (dutyTable, bool) {
	next := l.table.clone()
	l.pruneRecords(now)
	changed := l.removeMembers(now, &next)
	changed = l.addMembers(now, &next) || changed
	if lend := next.lendableFraction(1 - l.limiter.rule.reservedFraction); lend > next.LendLimit && len(next.Debts) == 0 {
		next.LendLimit = lend
		changed = true
	}
	return next, changed
}

// removeMembers removes members that are shutting down, and those that have been silent for so long that they no
// longer use their loans and reserve.
func (l *lender) removeMembers(now time.Time, next *dutyTable) bool {
	changed := false
	for name := range l.table.Members {
		rec := l.record(name)
		if !rec.leaving && !l.silent(now, name, rec) {
			continue
		}
		l.clearLoans(rec)
		rec.removed = true
		delete(next.Members, name)
		next.clearDebts(name)
		l.table.clearDebts(name)
		changed = true
		l.limiter.event("limit.dropped", logrus.Fields{
			"duty":     l.duty,
			"instance": name,
		})
	}
	return changed
}

// pruneTimeouts is the number of SilenceTimeout periods after which the record of an instance that is not a member is
// deleted.
const pruneTimeouts = 60

// pruneRecords deletes the records of instances that are not members and have been silent for pruneTimeouts
// periods.
func (l *lender) pruneRecords(now time.Time) {
	cutoff := now.Add(-pruneTimeouts * l.limiter.config.SilenceTimeout)
	for name, rec := range l.records {
		_, member := l.table.Members[name]
		if !member && rec.lastDemand.Before(cutoff) {
			l.clearLoans(rec)
			delete(l.records, name)
		}
	}
}

// silent reports whether an instance has been silent for so long that its reserve and loans have expired.
func (l *lender) silent(now time.Time, name string, rec *instanceRecord) bool {
	cutoff := now.Add(-l.limiter.config.SilenceTimeout)
	if rec.lastDemand.After(cutoff) || l.start.After(cutoff) {
		return false
	}
	if l.limiter.config.Members == nil {
		return true
	}
	for _, m := range l.limiter.config.Members() {
		if m.Peer.Name == name && m.State == tracker.Alive && m.LastHeard.After(cutoff) {
			return false
		}
	}
	return true
}

// addMembers adds instances that sent a demand recently, with a reserve while there are any left.
func (l *lender) addMembers(now time.Time, next *dutyTable) bool {
	names := make([]string, 0)
	for name, rec := range l.records {
		_, member := next.Members[name]
		recent := now.Sub(rec.lastDemand) < l.limiter.config.SilenceTimeout/2
		if !member && rec.reported && !rec.removed && !rec.leaving && recent {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		next.Members[name] = false
	}
	return l.assignReserves(next) || len(names) > 0
}

// assignReserves grants free reserves to members without one.
func (l *lender) assignReserves(next *dutyTable) bool {
	if l.limiter.rule.reservedFraction == 0 {
		return false
	}
	names := make([]string, 0, len(next.Members))
	for name, reserve := range next.Members {
		if !reserve {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	changed := false
	for _, name := range names {
		if next.reserves() >= l.limiter.rule.instances {
			break
		}
		next.Members[name] = true
		changed = true
	}
	return changed
}
