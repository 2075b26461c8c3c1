package resumer

import (
	"slices"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// StreamsPrefix is the prefix of the keys of stored streams.
const StreamsPrefix = "streams/"

const (
	// archiveGroups is the number of groups of entries, by a hash of the writer's name, and groupEntries the number of entries
	// of a group, which are overwritten in turn. Together they bound what is stored.
	archiveGroups = 32
	groupEntries  = 32
	// maxStored limits the streams of one entry, and maxPending those that wait to be stored, for pendingTime at most.
	maxStored   = 1024
	maxPending  = 4096
	pendingTime = 30 * time.Second
	// firstDelay is how long the first instance collects streams before it stores them. The others store their own ones after
	// otherDelay if the first has not, and later at large sites, since the store takes a limited number of writes.
	firstDelay    = 700 * time.Millisecond
	otherDelay    = 2 * time.Second
	instanceDelay = 10 * time.Millisecond
	// failureDelay is the time after a failed write until the next one.
	failureDelay = time.Second
)

// pendingStream is a stream that is not known to be stored.
type pendingStream struct {
	recentStream

	// own is set if this instance began it.
	own bool
}

// archive holds what this instance knows of the stored streams. They outlive all instances.
type archive struct {
	// pending are the streams that are not known to be stored, in the order in which they became known.
	pending []pendingStream
	// revisions are those of the entries that exist, by key.
	revisions map[string]storer.Revision
	// retryAt is the earliest time of the next write.
	retryAt time.Time
}

// add adds a stream that may have to be stored.
func (a *archive) add(stream uint64, version string, own bool, now time.Time) {
	if len(a.pending) == maxPending {
		a.pending = append(a.pending[:0], a.pending[maxPending/2:]...)
	}
	a.pending = append(a.pending, pendingStream{
		recentStream: recentStream{
			stream:  stream,
			version: version,
			began:   now,
		},
		own: own,
	})
}

// due returns the streams that this instance should store now, the latest ones if there are too many. Only streams of the given
// versions have to be stored. First is set on the one instance that stores those of others, too.
func (a *archive) due(now time.Time, versions []string, first bool, instances int) []recentStream {
	a.pending = slices.DeleteFunc(a.pending, func(p pendingStream) bool { return now.Sub(p.began) > pendingTime })
	if now.Before(a.retryAt) {
		return nil
	}
	delay := firstDelay
	if !first {
		delay = max(otherDelay, time.Duration(instances)*instanceDelay)
	}
	var streams []recentStream
	for _, p := range a.pending {
		if (first || p.own) && slices.Contains(versions, p.version) {
			streams = append(streams, p.recentStream)
		}
	}
	if len(streams) == 0 || now.Sub(streams[0].began) < delay {
		return nil
	}
	return streams[max(0, len(streams)-maxStored):]
}

// key returns the key of the entry in an instance's group that was written the longest time ago.
func (a *archive) key(instance string) string {
	prefix := StreamsPrefix + strconv.FormatUint(hashStream(instance)%archiveGroups, 10) + "."
	oldest := prefix + "0"
	for number := range groupEntries {
		if key := prefix + strconv.Itoa(number); a.revisions[key] < a.revisions[oldest] {
			oldest = key
		}
	}
	return oldest
}

// record records that an entry with some streams is stored; zero means that it is not.
func (a *archive) record(key string, revision storer.Revision, streams []recentStream) {
	if a.revisions == nil {
		a.revisions = map[string]storer.Revision{}
	}
	a.revisions[key] = revision
	if len(streams) == 0 {
		return
	}
	stored := map[uint64]string{}
	for _, s := range streams {
		stored[s.stream] = s.version
	}
	a.pending = slices.DeleteFunc(a.pending, func(p pendingStream) bool { return stored[p.stream] == p.version && p.version != "" })
}
