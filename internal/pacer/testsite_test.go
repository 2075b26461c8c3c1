package pacer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// testDuty is the only duty of the test site.
const testDuty = "limits/0"

// testDelay is the time that a message takes one way.
const testDelay = 2 * time.Millisecond

// testSite is a number of pacers of one failure domain before upstreams whose limits the test sets.
type testSite struct {
	pacers []*Pacer
	// arrivals are the times at which requests reached each upstream.
	arrivals map[string][]time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// owner is the number of the holder of testDuty; negative means that there is none.
	owner  int
	epoch  uint64
	random *rand.Rand
	// cut lists the pacers that no message reaches.
	cut map[int]bool
	// messages and bytes count the requests for permits and their payload.
	messages, bytes int
}

// silent reports a message that is not answered.
type silent struct{}

func (silent) Error() string { return "no answer" }

func newTestSite(t *testing.T, instances int) *testSite {
	t.Helper()
	s := &testSite{
		epoch:    1,
		random:   rand.New(rand.NewPCG(1, 1)),
		cut:      map[int]bool{},
		arrivals: map[string][]time.Time{},
	}
	names := map[string]int{}
	for number := range instances {
		name := string(rune('a'+number/26)) + string(rune('a'+number%26))
		names[name] = number
		s.pacers = append(s.pacers, New(Config{
			Self: messenger.Sender{
				Name:   name,
				Domain: "d",
			},
			Duties: []string{testDuty},
			Term: func(string) (holder.Fence, bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				return holder.Fence{
					Epoch: s.epoch,
					Check: func() error { return nil },
				}, s.owner == number
			},
			Owner: func(string) (messenger.Peer, uint64, bool) {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.owner < 0 {
					return messenger.Peer{}, 0, false
				}
				return messenger.Peer{
					Name: s.pacers[s.owner].config.Self.Name,
				}, s.epoch, true
			},
			LiveMembers: func(string) []tracker.Member { return nil },
			Call: func(ctx context.Context, to messenger.Peer, _ string, payload []byte) ([]byte, error) {
				s.mu.Lock()
				s.messages++
				s.bytes += len(payload)
				s.mu.Unlock()
				time.Sleep(testDelay)
				if s.isCut(number) || s.isCut(names[to.Name]) {
					<-ctx.Done()
					return nil, silent{}
				}
				answer, err := s.pacers[names[to.Name]].handleAsk(ctx, messenger.Sender{}, payload)
				time.Sleep(testDelay)
				return answer, err
			},
			Instances: func() int { return instances },
			Random: func() float64 {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.random.Float64()
			},
		}))
	}
	t.Cleanup(func() {
		for _, p := range s.pacers {
			p.end()
		}
		time.Sleep(time.Second) // the messages under way end
	})
	return s
}

// setHolder changes the holder of testDuty, for a new term.
func (s *testSite) setHolder(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = number
	s.epoch++
}

// setCut cuts a pacer off from all others, or connects it again.
func (s *testSite) setCut(number int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[number] = cut
}

func (s *testSite) isCut(number int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[number]
}

// upstream returns an upstream of the site.
func upstream(name string) Upstream {
	return Upstream{
		Name:   name,
		Domain: "d",
	}
}

// send tries to send a request through an instance, and has it observe the answer, which states the rate unless that
// is negative. It reports whether the request was admitted.
func (s *testSite) send(number int, name string, rate float64) bool {
	p := s.pacers[number]
	if p.Admit(upstream(name)) != Admitted {
		return false
	}
	sent := time.Now()
	s.arrivals[name] = append(s.arrivals[name], sent)
	p.Observe(upstream(name), Statement{
		Limited: rate >= 0,
		Rate:    max(0, rate),
		Sent:    sent,
	})
	return true
}

// press has the instances try to send requests every few milliseconds for a time.
func (s *testSite) press(span time.Duration, name string, rate float64, instances ...int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, number := range instances {
			s.send(number, name, rate)
		}
	}
}

// most returns the largest number of requests that reached an upstream in a window of 4 s from a time on.
func (s *testSite) most(name string, from time.Time) int {
	most := 0
	for first, at := range s.arrivals[name] {
		count := 0
		for _, other := range s.arrivals[name][first:] {
			if other.Sub(at) < 4*time.Second {
				count++
			}
		}
		if !at.Before(from) {
			most = max(most, count)
		}
	}
	return most
}

// traffic returns the number of requests for permits and the size of their payload, in bytes.
func (s *testSite) traffic() (messages, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages, s.bytes
}

// all returns the numbers of all instances.
func (s *testSite) all() []int {
	numbers := make([]int, len(s.pacers))
	for number := range numbers {
		numbers[number] = number
	}
	return numbers
}

// gossip passes the limits that each instance knows of to all others.
func (s *testSite) gossip() {
	for _, from := range s.pacers {
		attachment := from.Attachment()
		for _, to := range s.pacers {
			if to != from && len(attachment) > 0 {
				to.HandleAttachment(messenger.Peer{}, attachment)
			}
		}
	}
}
