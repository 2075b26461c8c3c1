package tracker

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker/trackerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const topicRows = "rows"

// rows is the latest copy of the platform's list, with its encoding, the encoding's digest and the
// time at which the list was read.
type rows struct {
	lock     sync.Mutex
	list     []storer.Instance
	encoded  []byte
	digest   uint64
	read     time.Time
	fetching bool
}

func newRows() *rows { return &rows{} }

// set stores a copy that was read at the given time, unless the stored one is as recent.
func (r *rows) set(list []storer.Instance, read time.Time) bool {
	encoded, err := json.Marshal(list)
	if err != nil {
		return false
	}
	digest := hash(string(encoded)) | 1
	r.lock.Lock()
	defer r.lock.Unlock()
	if !read.After(r.read) {
		return false
	}
	r.list, r.encoded, r.digest, r.read = list, encoded, digest, read
	return true
}

// digestAndAge returns the digest of the copy and its age in milliseconds.
func (r *rows) digestAndAge(now time.Time) (digest uint64, age uint32) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.read.IsZero() {
		return 0, 0
	}
	return r.digest, uint32(max(0, now.Sub(r.read).Milliseconds()))
}

// age returns how long ago the copy was read.
func (r *rows) age(now time.Time) (age time.Duration, ok bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return now.Sub(r.read), !r.read.IsZero()
}

// handleAnnouncement handles a peer's announcement of its copy: if it is more recent, equal rows renew this
// instance's copy, and different rows are fetched.
func (r *rows) handleAnnouncement(t *Tracker, peer messenger.Peer, digest uint64, age uint32, now time.Time) {
	if digest == 0 {
		return
	}
	read := now.Add(-time.Duration(age) * time.Millisecond)
	r.lock.Lock()
	defer r.lock.Unlock()
	if !read.After(r.read) {
		return
	}
	if digest == r.digest {
		r.read = read
		return
	}
	if r.fetching || read.Sub(r.read) < t.config.ListInterval/2 {
		return
	}
	r.fetching = true
	f := &fetch{
		tracker: t,
		peer:    peer,
	}
	go f.run(t.done)
}

// upstreams returns the rows that are not instances of this system.
func (r *rows) upstreams() []storer.Instance {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.DeleteFunc(slices.Clone(r.list), func(i storer.Instance) bool { return i.Role == storer.RoleEntry })
}

// fetch copies the list from a peer.
type fetch struct {
	tracker *Tracker
	peer    messenger.Peer
}

func (f *fetch) run(ctx context.Context) {
	t := f.tracker
	defer t.rows.endFetch()
	ctx, cancel := context.WithTimeout(ctx, t.config.Suspicion)
	defer cancel()
	answer, err := t.config.Call(ctx, f.peer, topicRows, nil)
	if err != nil {
		return
	}
	message := &trackerpb.Rows{}
	if err := proto.Unmarshal(answer, message); err != nil {
		return
	}
	var list []storer.Instance
	if err := json.Unmarshal(message.GetList(), &list); err != nil {
		return
	}
	now := t.config.Now()
	t.applyList(list, now.Add(-time.Duration(message.GetAge())*time.Millisecond))
}

// endFetch allows the next fetch.
func (r *rows) endFetch() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.fetching = false
}

// handleRows answers with the copy of the list and its age.
func (t *Tracker) handleRows(context.Context, messenger.Sender, []byte) ([]byte, error) {
	now := t.config.Now()
	r := t.rows
	r.lock.Lock()
	message := &trackerpb.Rows{
		Age:  uint32(max(0, now.Sub(r.read).Milliseconds())),
		List: r.encoded,
	}
	r.lock.Unlock()
	if len(message.GetList()) == 0 {
		return nil, &messenger.Refused{
			Code:   messenger.CodeFailed,
			Detail: "no copy of the list",
		}
	}
	return proto.Marshal(message)
}

// applyList stores a copy of the platform's list and updates the rosters from it. If the list names
// no other instance and no peers are configured, there is nobody to join.
func (t *Tracker) applyList(list []storer.Instance, read time.Time) {
	if !t.rows.set(list, read) {
		return
	}
	now := t.config.Now()
	listed := map[string]map[string]Member{}
	for _, row := range list {
		if row.Role != storer.RoleEntry || row.Name == t.config.Self.Name {
			continue
		}
		if listed[row.Domain] == nil {
			listed[row.Domain] = map[string]Member{}
		}
		listed[row.Domain][row.Name] = Member{
			Peer: messenger.Peer{
				Name:    row.Name,
				Address: row.Address,
			},
			Domain: row.Domain,
			State:  Suspect,
		}
		t.roster(row.Domain)
	}
	for _, r := range t.allRosters() {
		r.list(listed[r.domain], now)
	}
	if len(listed) == 0 && len(t.config.Known) == 0 {
		t.joined.Store(true)
	}
}
