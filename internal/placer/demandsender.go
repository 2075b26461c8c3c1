package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/placer/placerpb"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
)

// demandSender sends this instance's demand to the holder of one group's duty.
type demandSender struct {
	config     *Config
	group      *group
	aggregator *aggregator
	// wakeup triggers a flush when a request starts to wait for a key.
	wakeup chan struct{}

	mutex sync.Mutex
	// holder and epoch identify the term that received the last message; an empty holder
	// means that the next message has to be complete.
	holder   string
	epoch    uint64
	sequence uint64
	// nextFull is when the complete demand is sent again.
	nextFull time.Time
	// nextResend is when the demand that still waits is sent again.
	nextResend time.Time
}

func newDemandSender(config *Config, g *group) *demandSender {
	return &demandSender{
		config:     config,
		group:      g,
		aggregator: newAggregator(),
		wakeup:     make(chan struct{}, 1),
	}
}

// add counts one request's demand and triggers a flush if it is the first one waiting for
// its key.
func (s *demandSender) add(demand Demand) {
	if !s.aggregator.add(demand, s.config.Now()) {
		return
	}
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// run sends demand at every flushInterval and on wakeups until the context ends.
func (s *demandSender) run(ctx context.Context, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		case <-ticker.C:
		}
		s.flush(ctx)
	}
}

// flush sends the demand that has changed since the last message. The complete demand is
// sent to a new holder, after a failed message and every fullInterval.
func (s *demandSender) flush(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	peer, epoch, ok := s.config.Owner(s.group.duty)
	if !ok {
		return
	}
	now := s.config.Now()
	full := peer.Name != s.holder || epoch != s.epoch || !now.Before(s.nextFull)
	resend := !now.Before(s.nextResend)
	wants := s.aggregator.take(now, full, resend, s.readyLookup())
	if resend {
		s.nextResend = now.Add(resendInterval)
	}
	if len(wants) == 0 && !full {
		return
	}
	s.sequence++
	if !s.send(ctx, peer, full, wants, now) {
		s.aggregator.markUnsent(wants)
		s.holder = ""
		return
	}
	s.holder = peer.Name
	s.epoch = epoch
	if full {
		s.nextFull = now.Add(fullInterval)
	}
}

// send sends demand to the holder and reports whether the holder accepted it.
func (s *demandSender) send(ctx context.Context, peer messenger.Peer, full bool, wants []Want, now time.Time) bool {
	if peer.Name == s.config.Self.Name {
		return s.group.receive(s.config.Self, s.sequence, full, wants)
	}
	payload, err := proto.Marshal(encodeWants(s.sequence, full, wants, now))
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.config.Call(ctx, peer, s.group.topic(), payload)
	if err != nil {
		s.config.Log.WithFields(logrus.Fields{
			"holder": peer.Name,
			"error":  err,
		}).Debug("placer.unsent")
		return false
	}
	var ack placerpb.Ack
	return proto.Unmarshal(answer, &ack) == nil && ack.GetHolder()
}

// readyCopy is a copy that can serve requests, with the time of the report that shows it.
type readyCopy struct {
	reporter.Copy
	reportedAt time.Time
}

// readyLookup returns a function that returns when a copy for a key was last reported
// ready, or the zero time if none was.
func (s *demandSender) readyLookup() func(Key) time.Time {
	var copies map[string][]readyCopy
	catalog := s.config.Catalog()
	return func(key Key) time.Time {
		if copies == nil {
			copies = s.readyCopies()
		}
		var latest time.Time
		_, version, ok := catalog.currentVersion(key.Model)
		if !ok {
			return latest
		}
		for _, loaded := range copies[version.Checkpoint] {
			if loaded.reportedAt.After(latest) && (key.Adapter == "" || slices.Contains(loaded.Adapters, key.Adapter)) {
				latest = loaded.reportedAt
			}
		}
		return latest
	}
}

// readyCopies returns the copies that can serve requests, by checkpoint.
func (s *demandSender) readyCopies() map[string][]readyCopy {
	copies := map[string][]readyCopy{}
	for _, engine := range s.config.Engines() {
		report, _, ok := s.config.Report(engine.Name)
		if !ok || report.Leaving || engine.Leaving {
			continue
		}
		for _, loaded := range report.Copies {
			if loaded.State == reporter.CopyReady {
				copies[loaded.Checkpoint] = append(copies[loaded.Checkpoint], readyCopy{
					Copy:       loaded,
					reportedAt: report.At,
				})
			}
		}
	}
	return copies
}
