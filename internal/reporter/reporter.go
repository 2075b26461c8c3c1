package reporter

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/completer"
	"github.com/buckthorngap/buckthorngap/internal/connector"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// TopicReports is the topic of messages that carry load reports.
const TopicReports = "reports"

// Config configures a Reporter.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Domain is the failure domain whose upstreams are polled.
	Domain string
	// Upstreams returns the platform's list of upstreams.
	Upstreams func() []storer.Instance
	// Members returns the known instances; nil means that there are no other instances.
	Members func() []tracker.Member
	// Call sends a message to a peer; nil means that nothing is sent.
	Call messenger.Caller
	// Changed is called with the name of an upstream whose report has changed; may be nil.
	Changed func(upstream string)
	// OnCacheEvent is called with each cache event of the engines that this instance polls; may be
	// nil.
	OnCacheEvent func(upstream, prefix string, stored bool)
	// Interval is the time between two reads of a report; zero means DefaultInterval.
	Interval time.Duration
	// PushBytesPerSecond bounds the traffic to peers about changed counts; zero means
	// DefaultPushBytesPerSecond.
	PushBytesPerSecond float64
	// Client is used to read reports; nil means a new client.
	Client *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log receives a line when an upstream's answers begin to exceed the limit of their head; nil disables it.
	Log logrus.FieldLogger
}

// The defaults of Config.
const (
	// DefaultInterval is the time between two reads of a report.
	DefaultInterval = 250 * time.Millisecond
	// DefaultPushBytesPerSecond bounds the traffic to peers about changed counts.
	DefaultPushBytesPerSecond = 3584
)

// workers is the number of reports that are read concurrently.
const workers = 16

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.PushBytesPerSecond = cmp.Or(c.PushBytesPerSecond, DefaultPushBytesPerSecond)
	if c.Client == nil {
		c.Client = &http.Client{
			Transport: completer.New(&http.Transport{
				DialContext:         connector.New(0).DialContext,
				MaxIdleConnsPerHost: 2,
			}, completer.Config{}),
		}
	}
	if c.Members == nil {
		c.Members = func() []tracker.Member { return nil }
	}
	if c.Changed == nil {
		c.Changed = func(string) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Reporter keeps the latest load report of each upstream of the domain. Each instance polls a
// share of the upstreams and sends the changes to the others.
type Reporter struct {
	config Config
	// jobs passes the upstreams that are due for a poll to the workers.
	jobs chan *upstreamState

	mu        sync.RWMutex
	upstreams map[string]*upstreamState
	peers     map[string]*peer
	// budget is the number of bytes that may still be sent for changed counts. It was last
	// refilled at the time refilled.
	budget   float64
	refilled time.Time
}

// New returns a Reporter that has no reports yet.
func New(config Config) *Reporter {
	return &Reporter{
		config:    config.withDefaults(),
		jobs:      make(chan *upstreamState),
		upstreams: map[string]*upstreamState{},
		peers:     map[string]*peer{},
	}
}

// Report returns the latest report of an upstream and the time at which it was received. It
// returns false if there is none.
func (r *Reporter) Report(upstream string) (Report, time.Time, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.upstreams[upstream]
	if !ok || u.received.IsZero() {
		return Report{}, time.Time{}, false
	}
	return u.report, u.received, true
}

// Run polls upstreams and sends reports to peers until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for range workers {
		go r.loop(ctx)
	}
	ticker := time.NewTicker(r.config.Interval)
	defer ticker.Stop()
	for {
		r.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round polls this instance's share of the upstreams and sends the changes to the peers. An
// upstream whose previous poll is still running is skipped.
func (r *Reporter) round(ctx context.Context) {
	r.syncUpstreams()
	members := r.others()
	for _, u := range r.share(members) {
		if !u.polling.CompareAndSwap(false, true) {
			continue
		}
		select {
		case r.jobs <- u:
		case <-ctx.Done():
			return
		}
	}
	r.push(ctx, members)
}

// syncUpstreams adds and drops upstreams of the domain according to the platform's list.
func (r *Reporter) syncUpstreams() {
	listed := map[string]bool{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range r.config.Upstreams() {
		if row.Domain != r.config.Domain || row.Role == storer.RoleEntry {
			continue
		}
		listed[row.Name] = true
		u := r.upstreams[row.Name]
		if u == nil {
			u = &upstreamState{
				name: row.Name,
			}
			r.upstreams[row.Name] = u
		}
		u.row.Store(&row)
	}
	for name := range r.upstreams {
		if !listed[name] {
			delete(r.upstreams, name)
		}
	}
}

// others returns the other instances of the domain that are alive.
func (r *Reporter) others() []tracker.Member {
	var members []tracker.Member
	for _, member := range r.config.Members() {
		if member.Domain == r.config.Domain && member.Peer.Name != r.config.Self && member.State == tracker.Alive {
			members = append(members, member)
		}
	}
	return members
}

// share returns the upstreams that this instance polls, by rendezvous hashing among the live
// instances.
func (r *Reporter) share(members []tracker.Member) []*upstreamState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var own []*upstreamState
	for _, u := range r.upstreams {
		best, name := rendezvousHash(r.config.Self, u.name), r.config.Self
		for _, member := range members {
			if weight := rendezvousHash(member.Peer.Name, u.name); weight > best || weight == best && member.Peer.Name < name {
				best, name = weight, member.Peer.Name
			}
		}
		u.own.Store(name == r.config.Self)
		if name == r.config.Self {
			own = append(own, u)
		}
	}
	return own
}

// rendezvousHash returns the weight of an instance for an upstream in rendezvous hashing. All
// instances compute the same value.
func rendezvousHash(instance, upstream string) uint64 {
	hash := uint64(14695981039346656037)
	for _, text := range [...]string{instance, "\x00", upstream} {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * 1099511628211
		}
	}
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// accept stores a report if it is newer than the stored one, and reports whether it is.
func (r *Reporter) accept(upstream string, report Report) bool {
	r.mu.Lock()
	u := r.upstreams[upstream]
	if u == nil || !u.newer(report) {
		r.mu.Unlock()
		return false
	}
	u.store(report, r.config.Now())
	r.mu.Unlock()
	r.config.Changed(upstream)
	return true
}

var (
	failedReads = metrics.NewCounter("buckthorngap_report_reads_failed_total")
	pushedBytes = metrics.NewCounter("buckthorngap_report_pushed_bytes_total")
)
