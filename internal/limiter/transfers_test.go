package limiter

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// members lists the other running instances.
func (n *node) members() []tracker.Member {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var members []tracker.Member
	for name, other := range n.fleet.nodes {
		if name == n.name || !other.running() || other.isMuted() && !n.fleet.mutedListed {
			continue
		}
		members = append(members, tracker.Member{
			Peer: messenger.Peer{
				Name: name,
			},
			Domain:    other.domain,
			State:     tracker.Alive,
			LastHeard: time.Now(),
		})
	}
	return members
}

// TestOtherDomainsTransferUnusedBudget sends all of a team's requests, within its rate, to one of three domains.
// None may be refused, since the other domains transfer their unused budget.
func TestOtherDomainsTransferUnusedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3, 3, 2, nil)
		f.setTeam("crates", 300, 900)
		runElections(f, 5*time.Second)
		var group sync.WaitGroup
		var refused, served atomic.Int64
		for range 400 { // 80 % of the rate
			group.Add(1)
			go func() {
				defer group.Done()
				if f.node("d0-0").request("crates", 12, 12, 10*time.Millisecond) {
					served.Add(1)
				} else {
					refused.Add(1)
				}
			}()
			time.Sleep(50 * time.Millisecond)
			f.elect()
		}
		group.Wait()
		_, audit := f.largestExcess()
		f.stop()
		t.Logf("served=%d refused=%d", served.Load(), refused.Load())
		is.True(audit.Over <= tolerance)
		is.Equal(refused.Load(), int64(0))
	})
}

// runElections runs elections for a time span.
func runElections(f *fleet, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.elect()
	}
}

// TestLateTransfersAreIgnored delivers a transfer after its deadline, when the donor may have accrued new tokens in
// its place. The transfer must be ignored; with the deadline check disabled it is credited.
func TestLateTransfersAreIgnored(t *testing.T) {
	for _, acceptLate := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 2, 1, func(l *Limiter) { l.acceptLateTransfers = acceptLate })
			f.setTeam("crates", 1000, 2000)
			runElections(f, 5*time.Second)
			recipient := f.node("d1-0").limiter.lenders[0]
			deadline := time.Now().Add(transferTTL)
			epoch, _ := recipient.shortfalls()
			amounts := f.node("d0-0").limiter.lenders[0].serveTransfer(transferRequestFor("crates", 300)).GetAmounts()
			runElections(f, time.Second)
			before := spendAll(recipient, "crates")
			recipient.acceptTransfer(epoch, deadline, amounts)
			after := spendAll(recipient, "crates")
			f.stop()
			is.True(before > 0)
			is.Equal(after > 1, acceptLate) // only the deadline check prevents it
		})
	}
}

// spendAll empties a pool and returns what it held.
func spendAll(l *lender, team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pool(l.limiter.config.Now(), team)
	if p == nil {
		return 0
	}
	level := p.level
	p.level = 0
	return level
}

// transferRequestFor returns a transfer request for tokens of one team.
func transferRequestFor(team string, tokens float64) *limiterpb.Plea {
	return &limiterpb.Plea{
		Amounts: []*limiterpb.Amount{
			{
				Team:   team,
				Tokens: tokens,
			},
		},
	}
}
