package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// The load of one limit duty at the target size of a failure domain.
const (
	targetMembers = 93
	// targetCalls is the number of requests a second of one team at one instance.
	targetCalls = 1.35
	// targetTokens is what a request reserves, targetUsed what it uses.
	targetTokens = 460
	targetUsed   = 310
	targetHold   = 9 * time.Second
	targetSlack  = 1.3
	targetBurst  = 40
	targetSpan   = 10
)

// trafficMeter counts the exchanged messages and the bytes of demands and their answers.
type trafficMeter struct {
	messages, demands, grants atomic.Int64
}

// install returns a hook that sets a limiter's interval and size to the target's and counts its messages.
func (m *trafficMeter) install(interval time.Duration) func(*Limiter) {
	return func(l *Limiter) {
		l.config.DemandInterval = interval
		l.config.ReserveCount = targetMembers
		l.rule = newRule(l.config)
		call := l.config.Call
		l.config.Call = func(ctx context.Context, to messenger.Peer, topic string, payload []byte) ([]byte, error) {
			answer, err := call(ctx, to, topic, payload)
			m.messages.Add(1)
			m.demands.Add(int64(len(payload)))
			m.grants.Add(int64(len(answer)))
			return answer, err
		}
	}
}

// targetCaller sends one team's requests to one instance at random times.
type targetCaller struct {
	node *node
	team string
	rng  *rand.Rand
}

// loop sends requests with exponentially distributed gaps.
func (c *targetCaller) loop() {
	for !c.node.fleet.ended() {
		time.Sleep(time.Duration(c.rng.ExpFloat64() / targetCalls * float64(time.Second)))
		go c.node.request(c.team, targetTokens, targetUsed, targetHold)
	}
}

// TestTrafficAtTheTargetSize measures the messages of one limit duty in a failure domain of the target size,
// by active teams and interval.
func TestTrafficAtTheTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 93 instances")
	}
	for _, teams := range []int{3, 20} {
		for _, interval := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			synctest.Test(t, func(t *testing.T) { measureTraffic(t, teams, interval) })
		}
	}
}

func measureTraffic(t *testing.T, teams int, interval time.Duration) {
	is := is.New(t)
	meter := &trafficMeter{}
	f := newFleet(1, 1, targetMembers, meter.install(interval))
	const rate = targetSlack * targetMembers * targetCalls * targetUsed
	for team := range teams {
		f.setTeam(fmt.Sprint("team", team), rate, int64(targetBurst*rate))
	}
	go f.keepElecting()
	time.Sleep(targetSpan * time.Second)
	for i := range targetMembers {
		for team := range teams {
			caller := &targetCaller{
				node: f.node(fmt.Sprint("d0-", i)),
				team: fmt.Sprint("team", team),
				rng:  rand.New(rand.NewPCG(uint64(team), uint64(i))),
			}
			go caller.loop()
		}
	}
	time.Sleep(3 * targetSpan * time.Second)
	messages, demands, grants := meter.messages.Load(), meter.demands.Load(), meter.grants.Load()
	time.Sleep(targetSpan * time.Second)
	each := func(after, before int64) float64 { return float64(after-before) / targetSpan / targetMembers }
	f.mu.Lock()
	admitted, refused := f.admitted, f.refused
	f.mu.Unlock()
	t.Logf("teams=%d interval=%s messages=%.2f demands=%.0f grants=%.0f admitted=%d refused=%d", teams, interval,
		each(meter.messages.Load(), messages), each(meter.demands.Load(), demands), each(meter.grants.Load(), grants), admitted, refused)
	f.stop()
	_, audit := f.largestExcess()
	is.True(audit.Over <= tolerance)
}
