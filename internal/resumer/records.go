package resumer

import (
	"hash/fnv"
	"time"
)

const (
	// maxRecords limits the streams of one generation; the older generation is dropped when it is full.
	maxRecords = 1 << 15
	// generationTime is how long streams are added to a generation. Two are kept, so that a stream is known for at least that
	// long.
	generationTime = 2 * time.Minute
	// recentTime is how long a stream is passed on after its beginning, and maxRecent limits how many are.
	recentTime = 2 * time.Second
	maxRecent  = 512
)

// records holds which version began each stream, by the hash of the stream's identity, in bounded memory.
type records struct {
	current, former map[uint64]string
	// since is when the current generation was begun.
	since time.Time
	// recent are the streams that this instance began last, in order.
	recent []recentStream
}

// recentStream is a stream that is passed on to others.
type recentStream struct {
	stream  uint64
	version string
	began   time.Time
}

// hashStream returns the hash of a stream's identity.
func hashStream(identity string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(identity))
	return h.Sum64()
}

// add records which version began a stream.
func (r *records) add(stream uint64, version string, now time.Time) {
	if r.current == nil || now.Sub(r.since) >= generationTime || len(r.current) >= maxRecords {
		r.former, r.current, r.since = r.current, map[uint64]string{}, now
	}
	r.current[stream] = version
}

// version returns the version that began a stream, if it is known.
func (r *records) version(stream uint64) (string, bool) {
	if version, ok := r.current[stream]; ok {
		return version, true
	}
	version, ok := r.former[stream]
	return version, ok
}

// began records a stream that this instance began.
func (r *records) began(stream uint64, version string, now time.Time) {
	r.add(stream, version, now)
	if len(r.recent) == maxRecent {
		r.recent = append(r.recent[:0], r.recent[maxRecent/2:]...)
	}
	r.recent = append(r.recent, recentStream{
		stream:  stream,
		version: version,
		began:   now,
	})
}

// takeRecent returns the streams that are passed on, and forgets older ones.
func (r *records) takeRecent(now time.Time) []recentStream {
	first := 0
	for first < len(r.recent) && now.Sub(r.recent[first].began) > recentTime {
		first++
	}
	r.recent = append(r.recent[:0], r.recent[first:]...)
	return r.recent
}
