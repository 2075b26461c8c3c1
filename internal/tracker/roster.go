package tracker

import (
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// spreadFactor times the binary logarithm of the number of members is how often a change is
	// passed on.
	spreadFactor = 3
	// forgetFactor times DeathTimeout is how long dead members are remembered.
	forgetFactor = 12
)

// roster holds the members of one failure domain.
type roster struct {
	domain string
	// own is set for this instance's own failure domain.
	own bool

	lock    sync.Mutex
	records map[string]*record
	// names are the sorted keys of records; nil if records changed since they were sorted.
	names []string
	// sum is the digest of all present members: the exclusive or of the records' contributions.
	sum uint64
	// lastMessage is when any member last sent a message.
	lastMessage time.Time
	// unansweredSince is the time since which members have been called without a message from any of
	// them; zero if there was one since the last call.
	unansweredSince time.Time
}

func newRoster(domain string, own bool) *roster {
	return &roster{
		domain:  domain,
		own:     own,
		records: map[string]*record{},
	}
}

// apply applies information about a member and reports whether it superseded what was known.
func (r *roster) apply(update Member, now time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec, ok := r.records[update.Peer.Name]
	if ok && !update.supersedes(rec.member) {
		return false
	}
	if !ok {
		rec = &record{}
		r.records[update.Peer.Name] = rec
		r.names = nil
	}
	if rec.member.Incarnation == update.Incarnation {
		update.LastHeard = rec.member.LastHeard
	} else {
		update.LastHeard = time.Time{}
	}
	if !update.Peer.Address.IsValid() {
		update.Peer = rec.member.Peer
	}
	rec.member = update
	r.changeLocked(rec, now)
	return true
}

// changeLocked restarts the spreading of a changed record and updates the digest. The lock must be
// held.
func (r *roster) changeLocked(rec *record, now time.Time) {
	rec.changedAt = now
	rec.remainingSends = spreadFactor * bits.Len(uint(len(r.records)+1))
	r.sum ^= rec.contribution
	rec.contribution = rec.digest()
	r.sum ^= rec.contribution
}

// recordMessage records a message from the member itself.
func (r *roster) recordMessage(name string, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if rec := r.records[name]; rec != nil {
		rec.member.LastHeard = now
	}
	r.lastMessage = now
	r.unansweredSince = time.Time{}
}

// recordCall records that members are being called.
func (r *roster) recordCall(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

// applyListed records which members the platform's list contains. Unknown ones are added as
// suspect, with incarnation zero, until an instance hears from them.
func (r *roster) applyListed(listed map[string]Member, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, rec := range r.records {
		rec.listed = false
	}
	for name, row := range listed {
		rec := r.records[name]
		if rec == nil {
			rec = &record{
				member:    row,
				changedAt: now,
			}
			r.records[name] = rec
			r.names = nil
		}
		if rec.member.Incarnation == 0 && rec.member.Peer.Address != row.Peer.Address {
			rec.member.Peer.Address = row.Peer.Address
		}
		rec.listed = true
	}
}

// monitor sets the members that this instance sends heartbeats to, whose silence therefore counts.
func (r *roster) monitor(names map[string]bool, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for name, rec := range r.records {
		if !names[name] {
			rec.monitoredSince = time.Time{}
		} else if rec.monitoredSince.IsZero() {
			rec.monitoredSince = now
		}
	}
}

// restartSilences makes all silences count from now.
func (r *roster) restartSilences(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, rec := range r.records {
		if !rec.monitoredSince.IsZero() {
			rec.monitoredSince = now
		}
		if rec.member.State == Suspect {
			rec.changedAt = now
		}
	}
	if !r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

// expire marks silent members as suspect and then dead, and forgets those that have been dead for
// long. It returns the members whose state changed.
func (r *roster) expire(config Config, now time.Time) []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	var changes []Member
	for name, rec := range r.records {
		next := r.nextState(config, rec, now)
		if next != rec.member.State {
			rec.member.State = next
			r.changeLocked(rec, now)
			changes = append(changes, rec.member)
		}
		if next != Alive && next != Suspect && !rec.listed && now.Sub(rec.changedAt) > forgetFactor*config.DeathTimeout {
			r.sum ^= rec.contribution
			delete(r.records, name)
			r.names = nil
		}
	}
	return changes
}

// nextState returns the state that follows from a member's silence. It changes only members of this
// instance's failure domain: between domains, silence may be caused by a network partition, which
// remoteState handles.
func (r *roster) nextState(config Config, rec *record, now time.Time) State {
	state := rec.member.State
	if !r.own {
		return state
	}
	silent := !rec.monitoredSince.IsZero() && now.Sub(rec.silentSince()) > config.SuspectTimeout
	if state == Alive && silent {
		return Suspect
	}
	if state == Suspect && now.Sub(rec.changedAt) > config.DeathTimeout-config.SuspectTimeout {
		return Dead
	}
	return state
}

// view returns all members by name. Members of another domain that does not answer are returned as
// suspect, then dead, without this being passed on to other instances.
func (r *roster) view(config Config, now time.Time) []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.names == nil {
		r.names = slices.Sorted(maps.Keys(r.records))
	}
	members := make([]Member, 0, len(r.records))
	for _, name := range r.names {
		rec := r.records[name]
		member := rec.member
		if !r.own && member.State.Present() {
			member.State = r.remoteState(config, rec, now)
		}
		members = append(members, member)
	}
	return members
}

// count is the number of members, including dead ones.
func (r *roster) count() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.records)
}

// remoteState returns the state of a present member of another domain, which follows from its own
// silence or that of its domain.
func (r *roster) remoteState(config Config, rec *record, now time.Time) State {
	since := r.unansweredSince
	if memberSince := rec.silentSince(); !rec.monitoredSince.IsZero() && (since.IsZero() || memberSince.Before(since)) {
		since = memberSince
	}
	if since.IsZero() {
		return rec.member.State
	}
	switch silent := now.Sub(since); {
	case silent > config.DeathTimeout:
		return Dead
	case silent > config.SuspectTimeout:
		return Suspect
	default:
		return rec.member.State
	}
}

// takeChanges returns up to limit changes that are still to be passed on, and counts them as sent.
// It always includes the recipient's own record if it is not considered alive, so that the recipient
// can refute it.
func (r *roster) takeChanges(recipient string, limit int) []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	var members []Member
	for name, rec := range r.records {
		required := name == recipient && rec.member.State != Alive
		if rec.remainingSends <= 0 && !required {
			continue
		}
		if len(members) >= limit && !required {
			continue
		}
		rec.remainingSends--
		if rec.member.Incarnation != 0 {
			members = append(members, rec.member)
		}
	}
	return members
}

// digest is the hash of all present members.
func (r *roster) digest() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.sum
}

// aliveCount is the number of alive members.
func (r *roster) aliveCount() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	size := 0
	for _, rec := range r.records {
		if rec.member.State == Alive {
			size++
		}
	}
	return size
}

// beginCall marks a call to the member as started; false if one is already in progress.
func (r *roster) beginCall(name string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	rec := r.records[name]
	if rec == nil || rec.calling {
		return false
	}
	rec.calling = true
	return true
}

// endCall marks the call to the member as ended.
func (r *roster) endCall(name string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if rec := r.records[name]; rec != nil {
		rec.calling = false
	}
}
