package resumer

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/follower"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// checkInterval is the time between two checks whether the lists have to change. At each, about one instance writes.
	checkInterval = 300 * time.Millisecond
	// writeTimeout limits a write of a list.
	writeTimeout = time.Second
	// rereadInterval is the time after which the list of upstreams is read again without an update: an upstream may also go
	// because it has not registered again.
	rereadInterval = 5 * time.Second
)

// Resumer decides at which version a stream begins or goes on.
type Resumer struct {
	config  Config
	metrics resumerMetrics

	mu       sync.Mutex
	services map[string]*serviceVersions
	records  records
	archive  archive
	// engineVersions are the versions of the engines by service, as of engineVersionsAt; updated is set if they may have changed
	// since.
	engineVersions   map[string][]string
	engineVersionsAt time.Time
	updated          bool
}

// New returns a Resumer that knows no versions.
func New(config Config) *Resumer {
	return &Resumer{
		config:   config.complete(),
		metrics:  newResumerMetrics(),
		services: map[string]*serviceVersions{},
	}
}

// Apply applies an update of a follower.
func (r *Resumer) Apply(update follower.Update) {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updated = true
	stored := r.archive.revisions
	if update.Complete {
		for _, s := range r.services {
			s.stored, s.revision = list{}, 0
		}
		r.archive.revisions = nil
	}
	for _, key := range update.Deleted {
		delete(r.archive.revisions, key)
		if service, ok := strings.CutPrefix(key, Prefix); ok {
			r.service(service).stored, r.service(service).revision = list{}, 0
		}
	}
	for _, entry := range update.Entries {
		if strings.HasPrefix(entry.Key, StreamsPrefix) {
			r.applyStored(entry, stored[entry.Key] == entry.Revision, now)
			continue
		}
		service, ok := strings.CutPrefix(entry.Key, Prefix)
		if !ok {
			continue
		}
		stored, err := decodeList(entry.Value)
		if err != nil {
			r.config.Log.WithField("entry", entry.Key).WithError(err).Warn("version.unreadable")
			stored = list{}
		}
		r.service(service).apply(stored, entry.Revision, update.Restored || err != nil, now)
	}
}

// service returns what is known of a service. The mutex is held.
func (r *Resumer) service(name string) *serviceVersions {
	s := r.services[name]
	if s == nil {
		s = &serviceVersions{}
		r.services[name] = s
	}
	return s
}

// Versions returns the versions at which new streams of a service may begin.
func (r *Resumer) Versions(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(service).active(r.config.Now())
}

// Began records that an engine of a version brought the first event of a stream.
func (r *Resumer) Began(stream, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	r.records.began(hashStream(stream), version, now)
	r.archive.add(hashStream(stream), version, true, now)
}

// Resume returns the version at which a stream of a service goes on. Stream is the identity of the attempt that brought its
// first event; empty if the caller did not tell. It returns *Unknown or *Gone if the stream does not go on.
func (r *Resumer) Resume(ctx context.Context, service, stream string) (string, error) {
	version, err := r.find(ctx, service, stream)
	if err == nil && !slices.Contains(r.serving(service), version) {
		err = &Gone{
			Version: version,
		}
	}
	if err != nil {
		r.metrics.refused.Inc()
		r.config.Log.WithFields(logrus.Fields{
			"service": service,
			"stream":  stream,
			"error":   err,
			"age":     r.age(),
		}).Info("stream.unresumed")
		return "", err
	}
	r.metrics.resumed.Inc()
	return version, nil
}

// find returns the version that began a stream: as this instance has recorded, the only one listed, or as another instance
// has recorded.
func (r *Resumer) find(ctx context.Context, service, stream string) (string, error) {
	hash := hashStream(stream)
	now, age := r.config.Now(), r.age()
	r.mu.Lock()
	version, known := r.records.version(hash)
	listed := slices.Clone(r.service(service).list.Versions)
	r.mu.Unlock()
	switch {
	case known && stream != "":
		return version, nil
	case len(listed) == 1 && age <= maxAge:
		return listed[0], nil
	case stream == "":
	default:
		if version, known := r.ask(ctx, hash); known {
			r.mu.Lock()
			r.records.add(hash, version, now)
			r.mu.Unlock()
			return version, nil
		}
	}
	return "", &Unknown{
		Versions: listed,
		Age:      age,
		Outdated: age > maxAge,
	}
}

// age returns how long ago the store confirmed the lists.
func (r *Resumer) age() time.Duration { return r.config.Now().Sub(r.config.Confirmed()) }

// serving returns the versions of the engines of a service that are not leaving.
func (r *Resumer) serving(service string) []string {
	var versions []string
	for _, upstream := range r.config.Upstreams() {
		if upstream.Service == service && !upstream.Leaving && !slices.Contains(versions, upstream.Version) {
			versions = append(versions, upstream.Version)
		}
	}
	return versions
}

// Run keeps the lists in the store up to date until the context ends.
func (r *Resumer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.check(ctx)
		}
	}
}

// check writes the lists that have to change. Instances take turns at random, so that about one of them writes.
func (r *Resumer) check(ctx context.Context) {
	turn := r.config.Random(1+len(r.config.Peers())) == 0
	if r.age() > maxAge {
		return
	}
	now := r.config.Now()
	for service, versions := range r.knownVersions(now) {
		r.mu.Lock()
		s := r.service(service)
		next, changed := s.plan(versions, now)
		former, revision := s.list, s.revision
		r.mu.Unlock()
		if changed && turn {
			r.write(ctx, service, former, next, revision)
		}
	}
	r.storeStreams(ctx, now)
}

// knownVersions returns the versions of the engines by service. It reads the list of upstreams again only after an update or
// a while, since that is long at large sites.
func (r *Resumer) knownVersions(now time.Time) map[string][]string {
	r.mu.Lock()
	known := r.engineVersions
	current := known != nil && !r.updated && now.Sub(r.engineVersionsAt) < rereadInterval
	r.updated = false
	r.mu.Unlock()
	if current {
		return known
	}
	known = map[string][]string{}
	for _, upstream := range r.config.Upstreams() {
		if upstream.Role == storer.RoleEngine && !slices.Contains(known[upstream.Service], upstream.Version) {
			known[upstream.Service] = append(known[upstream.Service], upstream.Version)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engineVersions, r.engineVersionsAt = known, now
	return known
}

// write stores a list unless it has changed meanwhile. What is written counts once the follower has read it.
func (r *Resumer) write(ctx context.Context, service string, former, next list, expected storer.Revision) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = r.config.Store.Swap(ctx, storer.Swap{
		Key:      Prefix + service,
		Value:    value,
		Expected: expected,
	})
	log := r.config.Log.WithFields(logrus.Fields{
		"service":  service,
		"former":   former.Versions,
		"versions": next.Versions,
	})
	if err != nil {
		log.WithError(err).Info("version.unlisted")
		return
	}
	log.Info("version.listed")
}
