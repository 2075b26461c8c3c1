package reporter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// leavingBound is the time after which no instance may send new work to a leaving upstream.
const leavingBound = 2 * time.Second

// roundTripper answers HTTP requests without a network.
type roundTripper func(*http.Request) *http.Response

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r), nil }

// fleet runs reporters and upstreams in fake time. The upstreams' counts change between any two
// reads.
type fleet struct {
	rows      []storer.Instance
	reporters []*reporter.Reporter
	members   []tracker.Member
	started   time.Time
	leaving   atomic.Bool
	sent      atomic.Int64
	received  atomic.Int64
	messages  atomic.Int64
}

// respond returns the load report of the upstream that the port identifies.
func (f *fleet) respond(request *http.Request) *http.Response {
	var port int
	_, _ = fmt.Sscanf(request.URL.Port(), "%d", &port)
	now := time.Now()
	report := reporter.Report{
		Upstream: fmt.Sprintf("engine%d", port),
		At:       now,
		Sequence: uint64(now.Sub(f.started)/time.Millisecond) + 1,
		Start:    "1",
		Slots:    64,
		Running:  int(now.UnixMilli()/7) % 64,
		Leaving:  port == 1 && f.leaving.Load(),
	}
	for i := range 3 {
		report.Copies = append(report.Copies, reporter.Copy{
			Checkpoint: fmt.Sprintf("model-%d-%d", port, i),
			State:      reporter.CopyReady,
			Adapters:   []string{"one", "two", "three"},
			Running:    report.Running / 3,
		})
	}
	data, _ := json.Marshal(report)
	f.received.Add(int64(len(data)))
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(bytes.NewReader(data)),
		Request:    request,
	}
}

// start runs the reporters of a domain with the given numbers of instances and upstreams.
func (f *fleet) start(ctx context.Context, group *sync.WaitGroup, instances, upstreams int) {
	f.started = time.Now()
	for i := range upstreams {
		f.rows = append(f.rows, storer.Instance{
			Name:    fmt.Sprintf("engine%d", i+1),
			Domain:  "central",
			Role:    storer.RoleEngine,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		})
	}
	byName := map[string]*reporter.Reporter{}
	for i := range instances {
		f.members = append(f.members, tracker.Member{
			Peer: messenger.Peer{
				Name: fmt.Sprintf("entry%d", i),
			},
			Domain: "central",
			State:  tracker.Alive,
		})
	}
	for _, member := range f.members {
		sender := messenger.Sender{
			Name:   member.Peer.Name,
			Domain: "central",
		}
		r := reporter.New(reporter.Config{
			Self:      member.Peer.Name,
			Domain:    "central",
			Upstreams: func() []storer.Instance { return f.rows },
			Members:   func() []tracker.Member { return f.members },
			Call: func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
				f.sent.Add(int64(len(payload)))
				f.messages.Add(1)
				time.Sleep(time.Millisecond)
				return byName[to.Name].Handlers()[topic](ctx, sender, payload)
			},
			Client: &http.Client{
				Transport: roundTripper(f.respond),
			},
		})
		byName[member.Peer.Name] = r
		f.reporters = append(f.reporters, r)
	}
	for _, r := range f.reporters {
		group.Go(func() { r.Run(ctx) })
	}
}

// unaware returns the number of instances that do not know yet that engine1 is leaving.
func (f *fleet) unaware() int {
	count := 0
	for _, r := range f.reporters {
		if report, _, ok := r.Report("engine1"); !ok || !report.Leaving {
			count++
		}
	}
	return count
}

// measure runs a fleet for a minute. It returns the bytes and messages a second that each
// instance sent, the bytes a second that it read, and the time until all instances knew that an
// upstream was leaving.
func measure(instances, upstreams int) (sent, messages, read float64, leaving time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	f := &fleet{}
	f.start(ctx, &group, instances, upstreams)
	time.Sleep(3 * time.Second)
	f.sent.Store(0)
	f.messages.Store(0)
	f.received.Store(0)
	const span = 60
	time.Sleep(span * time.Second)
	sent = float64(f.sent.Load()) / span / float64(instances)
	messages = float64(f.messages.Load()) / span / float64(instances)
	read = float64(f.received.Load()) / span / float64(instances)
	f.leaving.Store(true)
	leavingSince := time.Now()
	for f.unaware() > 0 && time.Since(leavingSince) < 2*leavingBound {
		time.Sleep(10 * time.Millisecond)
	}
	leaving = time.Since(leavingSince)
	cancel()
	group.Wait()
	time.Sleep(2 * time.Second)
	return sent, messages, read, leaving
}

func TestAllInstancesKnowALeavingUpstreamInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sent, messages, read, leaving := measure(12, 24)
		t.Logf("instances=12 upstreams=24 sent=%.0f messages=%.1f read=%.0f leaving=%s", sent, messages, read, leaving)
		is.True(leaving < leavingBound)
	})
}

// nodeBytes bounds all control traffic of an instance, in bytes a second.
const nodeBytes = 16 << 10

// TestTrafficAtTheTargetSize checks the control traffic of load reports in a failure domain of
// the target size.
func TestTrafficAtTheTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 92 instances with 183 upstreams")
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sent, messages, read, leaving := measure(92, 183)
		t.Logf("instances=92 upstreams=183 sent=%.0f messages=%.1f read=%.0f leaving=%s", sent, messages, read, leaving)
		is.True(sent+80*messages < nodeBytes)
		is.True(leaving < leavingBound)
	})
}
