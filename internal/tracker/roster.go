package tracker

import (
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// spreadFactor times the logarithm of the members is how often a change is passed on.
	spreadFactor = 3
	// forgetFactor times Death is how long dead members are remembered.
	forgetFactor = 12
)

// roster holds the members of one failure domain.
type roster struct {
	domain string
	// own is set for the failure domain of this instance.
	own bool

	lock    sync.Mutex
	records map[string]*record
	// names are the keys of records in order; nil if they changed since.
	names []string
	// sum is the digest of all present members.
	sum uint64
	// heard is when any member was last heard.
	heard time.Time
	// tried is since when members were called without any being heard.
	tried time.Time
}

func newRoster(domain string, own bool) *roster {
	return &roster{
		domain:  domain,
		own:     own,
		records: map[string]*record{},
	}
}

// apply takes news of a member and tells whether they were new.
func (r *roster) apply(news Member, now time.Time) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	known, ok := r.records[news.Peer.Name]
	if ok && !news.supersedes(known.member) {
		return false
	}
	if !ok {
		known = &record{}
		r.records[news.Peer.Name] = known
		r.names = nil
	}
	if known.member.Incarnation == news.Incarnation {
		news.Heard = known.member.Heard
	} else {
		news.Heard = time.Time{}
	}
	if !news.Peer.Address.IsValid() {
		news.Peer = known.member.Peer
	}
	known.member = news
	r.change(known, now)
	return true
}

// change restarts the spreading of a record. The lock must be held.
func (r *roster) change(known *record, now time.Time) {
	known.changed = now
	known.spreads = spreadFactor * bits.Len(uint(len(r.records)+1))
	r.sum ^= known.sum
	known.sum = known.digest()
	r.sum ^= known.sum
}

// hear notes a message from the member itself.
func (r *roster) hear(name string, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if known := r.records[name]; known != nil {
		known.member.Heard = now
	}
	r.heard = now
	r.tried = time.Time{}
}

// try notes that members are called.
func (r *roster) try(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.tried.IsZero() {
		r.tried = now
	}
}

// list notes which members the platform's list names. Unknown ones are added
// as suspect, with incarnation zero, until they are heard.
func (r *roster) list(rows map[string]Member, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, known := range r.records {
		known.listed = false
	}
	for name, row := range rows {
		known := r.records[name]
		if known == nil {
			known = &record{
				member:  row,
				changed: now,
			}
			r.records[name] = known
			r.names = nil
		}
		if known.member.Incarnation == 0 && known.member.Peer.Address != row.Peer.Address {
			known.member.Peer.Address = row.Peer.Address
		}
		known.listed = true
	}
}

// watch notes which members this instance sends heartbeats.
func (r *roster) watch(names map[string]bool, now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for name, known := range r.records {
		if !names[name] {
			known.watched = time.Time{}
		} else if known.watched.IsZero() {
			known.watched = now
		}
	}
}

// restart lets all silences count from now.
func (r *roster) restart(now time.Time) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, known := range r.records {
		if !known.watched.IsZero() {
			known.watched = now
		}
		if known.member.State == Suspect {
			known.changed = now
		}
	}
	if !r.tried.IsZero() {
		r.tried = now
	}
}

// expire turns silence into suspicion and death, and forgets the long dead. It
// returns the members whose state changed.
func (r *roster) expire(config Config, now time.Time) []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	var changes []Member
	for name, known := range r.records {
		next := r.next(config, known, now)
		if next != known.member.State {
			known.member.State = next
			r.change(known, now)
			changes = append(changes, known.member)
		}
		if next != Alive && next != Suspect && !known.listed && now.Sub(known.changed) > forgetFactor*config.Death {
			r.sum ^= known.sum
			delete(r.records, name)
			r.names = nil
		}
	}
	return changes
}

// next is the state that follows from silence. Only members of the own failure
// domain are judged: between domains silence may be a cut, see view.
func (r *roster) next(config Config, known *record, now time.Time) State {
	state := known.member.State
	if !r.own {
		return state
	}
	silent := !known.watched.IsZero() && now.Sub(known.silence()) > config.Suspicion
	if state == Alive && silent {
		return Suspect
	}
	if state == Suspect && now.Sub(known.changed) > config.Death-config.Suspicion {
		return Dead
	}
	return state
}

// view returns all members by name. Members of another domain that does not answer
// are shown as suspect, then dead, without this being passed on as news.
func (r *roster) view(config Config, now time.Time) []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.names == nil {
		r.names = slices.Sorted(maps.Keys(r.records))
	}
	members := make([]Member, 0, len(r.records))
	for _, name := range r.names {
		known := r.records[name]
		member := known.member
		if !r.own && member.State.Present() {
			member.State = r.judge(config, known, now)
		}
		members = append(members, member)
	}
	return members
}

// count is the number of members, the dead included.
func (r *roster) count() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.records)
}

func (r *roster) judge(config Config, known *record, now time.Time) State {
	silence := r.tried
	if own := known.silence(); !known.watched.IsZero() && (silence.IsZero() || own.Before(silence)) {
		silence = own
	}
	if silence.IsZero() {
		return known.member.State
	}
	switch silent := now.Sub(silence); {
	case silent > config.Death:
		return Dead
	case silent > config.Suspicion:
		return Suspect
	default:
		return known.member.State
	}
}

// news returns up to limit changes that are still to be passed on, and always
// the record of the named member if that member is not taken as alive.
func (r *roster) news(about string, limit int) []Member {
	r.lock.Lock()
	defer r.lock.Unlock()
	var members []Member
	for name, known := range r.records {
		told := name == about && known.member.State != Alive
		if known.spreads <= 0 && !told {
			continue
		}
		if len(members) >= limit && !told {
			continue
		}
		known.spreads--
		if known.member.Incarnation != 0 {
			members = append(members, known.member)
		}
	}
	return members
}

// digest covers all present members.
func (r *roster) digest() uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.sum
}

// size is the number of alive members.
func (r *roster) size() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	size := 0
	for _, known := range r.records {
		if known.member.State == Alive {
			size++
		}
	}
	return size
}

// begin claims the right to call the member; false while a call is under way.
func (r *roster) begin(name string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	known := r.records[name]
	if known == nil || known.calling {
		return false
	}
	known.calling = true
	return true
}

func (r *roster) end(name string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if known := r.records[name]; known != nil {
		known.calling = false
	}
}
