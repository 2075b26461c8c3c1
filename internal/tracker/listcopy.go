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

// listCopy is this instance's latest copy of the platform's list.
type listCopy struct {
	lock      sync.Mutex
	instances []storer.Instance
	// encoded is the JSON encoding of instances, and digest its hash, which is never zero.
	encoded []byte
	digest  uint64
	// read is when the list was read from the platform; zero if there is no copy.
	read time.Time
	// fetching is set while a more recent copy is being fetched from a peer.
	fetching bool
}

func newListCopy() *listCopy { return &listCopy{} }

// set stores a copy that was read at the given time, and reports whether it did. It does not if the
// stored one is as recent.
func (c *listCopy) set(list []storer.Instance, read time.Time) bool {
	encoded, err := json.Marshal(list)
	if err != nil {
		return false
	}
	digest := hash(string(encoded)) | 1
	c.lock.Lock()
	defer c.lock.Unlock()
	if !read.After(c.read) {
		return false
	}
	c.instances, c.encoded, c.digest, c.read = list, encoded, digest, read
	return true
}

// digestAndAge returns the digest of the copy and its age in milliseconds.
func (c *listCopy) digestAndAge(now time.Time) (digest uint64, age uint32) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.read.IsZero() {
		return 0, 0
	}
	return c.digest, uint32(max(0, now.Sub(c.read).Milliseconds()))
}

// age returns how long ago the copy was read.
func (c *listCopy) age(now time.Time) (age time.Duration, ok bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return now.Sub(c.read), !c.read.IsZero()
}

// handleAnnouncement handles a peer's announcement of its copy. If that is more recent, this
// instance's copy is marked as that recent if it is equal, otherwise the peer's copy is fetched.
func (c *listCopy) handleAnnouncement(t *Tracker, peer messenger.Peer, digest uint64, age uint32, now time.Time) {
	if digest == 0 {
		return
	}
	read := now.Add(-time.Duration(age) * time.Millisecond)
	c.lock.Lock()
	defer c.lock.Unlock()
	if !read.After(c.read) {
		return
	}
	if digest == c.digest {
		c.read = read
		return
	}
	if c.fetching || read.Sub(c.read) < t.config.ListInterval/2 {
		return
	}
	c.fetching = true
	f := &listFetch{
		tracker: t,
		peer:    peer,
	}
	go f.run(t.done)
}

// upstreams returns the engines and services in the list, that is all entries but instances of this
// system.
func (c *listCopy) upstreams() []storer.Instance {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.DeleteFunc(slices.Clone(c.instances), func(i storer.Instance) bool { return i.Role == storer.RoleEntry })
}

// endFetch allows the next fetch.
func (c *listCopy) endFetch() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.fetching = false
}

// handleRows answers with the copy of the list and its age.
func (t *Tracker) handleRows(context.Context, messenger.Sender, []byte) ([]byte, error) {
	now := t.config.Now()
	c := t.list
	c.lock.Lock()
	message := &trackerpb.Rows{
		Age:  uint32(max(0, now.Sub(c.read).Milliseconds())),
		List: c.encoded,
	}
	c.lock.Unlock()
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
	if !t.list.set(list, read) {
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
		r.applyListed(listed[r.domain], now)
	}
	if len(listed) == 0 && len(t.config.ConfiguredPeers) == 0 {
		t.joined.Store(true)
	}
}
