package reporter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// upstream is an emulated engine whose report a test changes.
type upstream struct {
	mu     sync.Mutex
	report reporter.Report
	reads  atomic.Int64
}

func (u *upstream) change(change func(*reporter.Report)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report.Sequence++
	u.report.At = time.Now()
	change(&u.report)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	u.reads.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.report)
}

// domain is a failure domain of reporters that call each other directly.
type domain struct {
	upstreams []*upstream
	rows      []storer.Instance
	reporters map[string]*reporter.Reporter
	members   []tracker.Member
	// partitioned makes all calls between reporters fail.
	partitioned atomic.Bool
}

// newDomain starts the upstreams of a domain, and returns its reporters, which are not running
// yet.
func newDomain(t *testing.T, instances, upstreams int) *domain {
	d := &domain{
		reporters: map[string]*reporter.Reporter{},
	}
	for i := range upstreams {
		name := fmt.Sprintf("engine%d", i)
		u := &upstream{}
		u.change(func(r *reporter.Report) { r.Upstream, r.Start = name, "1" })
		server := httptest.NewServer(u)
		t.Cleanup(server.Close)
		d.upstreams = append(d.upstreams, u)
		d.rows = append(d.rows, storer.Instance{
			Name:    name,
			Domain:  "central",
			Role:    storer.RoleEngine,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	for i := range instances {
		d.members = append(d.members, tracker.Member{
			Peer: messenger.Peer{
				Name: fmt.Sprintf("entry%d", i),
			},
			Domain: "central",
			State:  tracker.Alive,
		})
	}
	for _, member := range d.members {
		d.reporters[member.Peer.Name] = reporter.New(reporter.Config{
			Self:      member.Peer.Name,
			Domain:    "central",
			Upstreams: func() []storer.Instance { return d.rows },
			Members:   func() []tracker.Member { return d.members },
			Call:      d.caller(member.Peer.Name),
			Interval:  5 * time.Millisecond,
		})
	}
	return d
}

// caller returns the function by which a reporter calls the handlers of others.
func (d *domain) caller(from string) messenger.Caller {
	return func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
		if d.partitioned.Load() {
			return nil, context.DeadlineExceeded
		}
		sender := messenger.Sender{
			Name:   from,
			Domain: "central",
		}
		return d.reporters[to.Name].Handlers()[topic](ctx, sender, payload)
	}
}

func (d *domain) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, r := range d.reporters {
		group.Go(func() { r.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// waitUntil waits until every reporter's report of an upstream satisfies a condition.
func (d *domain) waitUntil(name string, condition func(reporter.Report) bool) {
	for _, r := range d.reporters {
		for {
			if report, _, ok := r.Report(name); ok && condition(report) {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func TestEveryInstanceReceivesEveryChange(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, 5)
	d.run(t)
	for i, u := range d.upstreams {
		d.waitUntil(d.rows[i].Name, func(r reporter.Report) bool { return r.Sequence >= 1 })
		u.change(func(r *reporter.Report) {
			r.Copies = []reporter.Copy{{
				Checkpoint: "m-1",
				State:      reporter.CopyReady,
				Adapters:   []string{"a"},
			}}
		})
		d.waitUntil(d.rows[i].Name, func(r reporter.Report) bool { return len(r.Copies) == 1 && r.Copies[0].Adapters[0] == "a" })
		u.change(func(r *reporter.Report) { r.Running, r.Copies[0].Running = 7, 6 })
		d.waitUntil(d.rows[i].Name, func(r reporter.Report) bool { return r.Running == 7 && r.Copies[0].Running == 6 })
	}
	d.partitioned.Store(true)
	d.upstreams[0].change(func(r *reporter.Report) { r.Leaving = true })
	time.Sleep(20 * time.Millisecond)
	d.partitioned.Store(false)
	d.waitUntil("engine0", func(r reporter.Report) bool { return r.Leaving })
	is.Equal(len(d.reporters), 3)
}

func TestOlderReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, 1)
	d.upstreams[0].change(func(r *reporter.Report) { r.Running = 9 })
	d.run(t)
	d.waitUntil("engine0", func(r reporter.Report) bool { return r.Running == 9 })
	d.upstreams[0].change(func(r *reporter.Report) { r.Sequence, r.Running = 1, 3 })
	reads := d.upstreams[0].reads.Load()
	for d.upstreams[0].reads.Load() < reads+3 {
		time.Sleep(time.Millisecond)
	}
	report, _, _ := d.reporters["entry0"].Report("engine0")
	is.Equal(report.Running, 9)
}

func TestReportsOfOtherDomainsAreRejected(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, 1)
	sender := messenger.Sender{
		Name:   "entry9",
		Domain: "coast",
	}
	_, err := d.reporters["entry0"].Handlers()[reporter.TopicReports](t.Context(), sender, nil)
	is.True(err != nil)
}
