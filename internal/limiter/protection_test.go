package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/limiter/limiterpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// scenario runs a script in one domain of three instances and returns the excess over the team's limits. The tests
// below run a script with and without a safeguard: without the safeguard the limits must be exceeded.
func scenario(t *testing.T, disable func(*Limiter), rate float64, burst int64, script func(*fleet)) float64 {
	over := 0.0
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, 0, 0, disable)
		f.beforeSpend = freezeOnce
		f.grow(1, 3)
		f.setTeam("team", rate, burst)
		script(f)
		_, audit := f.largestExcess()
		over = audit.Over
		f.stop()
	})
	return over
}

// freezeOnce returns a hook between the check for a pause and the spending. The hook freezes the instance if
// freezeBeforeSpend is set, and clears it.
func freezeOnce(n *node) func() {
	return func() {
		if n.freezeBeforeSpend.CompareAndSwap(true, false) {
			n.freeze()
			n.now()
		}
	}
}

// drain sends requests until an instance refuses one.
func (f *fleet) drain(name string, tokens int64) {
	n := f.node(name)
	for n.request("team", tokens, tokens, 0) {
	}
}

// TestFrozenHolder resumes a holder after a pause in which another instance took over, while the old holder still
// sends its own demands to itself.
func TestFrozenHolder(t *testing.T) {
	script := func(f *fleet) {
		f.elect()
		time.Sleep(time.Second)
		old := f.terms["d0"]
		first := f.node(old.name)
		for _, n := range f.nodes {
			n.request("team", 10, 10, 0)
		}
		first.freeze()
		go f.keepElecting()
		time.Sleep(4 * time.Second)
		first.mu.Lock()
		first.outdatedTerm = old
		first.mu.Unlock()
		first.thaw()
		for range 100 {
			for _, n := range f.nodes {
				go f.drain(n.name, 20)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	is := is.New(t)
	is.True(scenario(t, nil, 1000, 2000, script) <= tolerance)
	is.True(scenario(t, func(l *Limiter) { l.skipTermCheck = true }, 1000, 2000, script) > 100)
}

// TestFrozenInstance freezes an instance between the check for a pause and the spending until its reserve has
// been granted to another instance.
func TestFrozenInstance(t *testing.T) {
	script := func(f *fleet) {
		f.elect()
		go f.keepElecting()
		time.Sleep(time.Second)
		name := "d0-0"
		if f.terms["d0"].name == name {
			name = "d0-1"
		}
		n := f.node(name)
		for _, other := range f.nodes {
			other.request("team", 10, 10, 0)
		}
		time.Sleep(30 * time.Second)
		n.freezeBeforeSpend.Store(true)
		go n.request("team", 90, 90, 0)
		time.Sleep(100 * time.Second)
		for _, other := range f.nodes {
			if other != n {
				go f.drain(other.name, 10)
			}
		}
		time.Sleep(time.Second)
		n.thaw()
		time.Sleep(time.Second)
	}
	is := is.New(t)
	is.True(scenario(t, nil, 50, 3000, script) <= tolerance)
	is.True(scenario(t, func(l *Limiter) { l.skipPauseCheck = true }, 50, 3000, script) > 10)
}

// TestUnreportedLoans lets an instance spend loans of a former epoch that were not reported to the new
// holder.
func TestUnreportedLoans(t *testing.T) {
	script := spendUnreportedLoans(func(*fleet) {})
	is := is.New(t)
	is.True(scenario(t, nil, 1500, 3000, script) <= tolerance)
	is.True(scenario(t, func(l *Limiter) { l.ignoreDebts = true }, 1500, 3000, script) > 100)
}

// spendUnreportedLoans returns a script in which an instance keeps a loan of which the holder that takes over learns nothing,
// and in which all others then borrow what they can. The function runs between the end of the former holder and the next.
func spendUnreportedLoans(takeover func(*fleet)) func(*fleet) {
	return func(f *fleet) {
		f.elect()
		go f.keepElecting()
		time.Sleep(time.Second)
		old := f.node(f.terms["d0"].name)
		n, next := f.node("d0-0"), f.node("d0-1")
		switch old {
		case n:
			n = f.node("d0-2")
		case next:
			next = f.node("d0-2")
		}
		for range 20 {
			n.request("team", 400, 0, 0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		n.keepLoan()
		old.kill()
		takeover(f)
		f.startTerm(next)
		time.Sleep(2400 * time.Millisecond)
		for range 20 {
			for _, other := range f.nodes {
				if other != old {
					go f.drain(other.name, 20)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestRepeatedDemand delivers a demand a second time after a demand of a later session. Its returned tokens must be
// credited once.
func TestRepeatedDemand(t *testing.T) {
	run := func(disable func(*Limiter)) float64 {
		level := 0.0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(7, 1, 3, disable)
			f.setTeam("team", 0, 3000)
			f.elect()
			time.Sleep(time.Second)
			lender := f.node(f.terms["d0"].name).limiter.lenders[0]
			from := messenger.Sender{
				Name:        "d0-9",
				Domain:      "d0",
				Incarnation: 1,
			}
			demand := &limiterpb.Demand{
				Epoch:    f.epoch,
				Session:  1,
				Sequence: 1,
				Wants: []*limiterpb.Want{{
					Team:     "team",
					Returned: 500,
				}},
			}
			_, _ = lender.serve(from, demand)
			_, _ = lender.serve(from, &limiterpb.Demand{
				Epoch:    f.epoch,
				Session:  2,
				Sequence: 1,
			})
			_, _ = lender.serve(from, demand)
			lender.mu.Lock()
			level = lender.pools["team"].level
			lender.mu.Unlock()
			f.stop()
		})
		return level
	}
	is := is.New(t)
	is.Equal(run(nil), 500.0)
	is.Equal(run(func(l *Limiter) { l.acceptStale = true }), 1000.0)
}

// TestLoweredBurst checks that all balances shrink with a lowered burst, wherever they are held.
func TestLoweredBurst(t *testing.T) {
	script := func(f *fleet) {
		f.elect()
		go f.keepElecting()
		time.Sleep(time.Second)
		for range 20 {
			for _, n := range f.nodes {
				n.request("team", 300, 0, 0)
			}
			time.Sleep(500 * time.Millisecond)
		}
		f.setTeam("team", 10, 300)
		time.Sleep(time.Millisecond)
		for _, n := range f.nodes {
			go f.drain(n.name, 1)
		}
		time.Sleep(time.Second)
	}
	is := is.New(t)
	is.True(scenario(t, nil, 1000, 3000, script) <= tolerance)
	is.True(scenario(t, func(l *Limiter) { l.config.Team = hideLoweredBurst(l.config.Team) }, 1000, 3000, script) > 100)
}

// hideLoweredBurst hides a lowered burst from the limiters.
func hideLoweredBurst(team func(string) (configurator.Team, bool)) func(string) (configurator.Team, bool) {
	return func(name string) (configurator.Team, bool) {
		limits, ok := team(name)
		limits.Burst = max(limits.Burst, 3000)
		return limits, ok
	}
}

// keepLoan drops the demands of an instance to the holder and makes it keep its loan by predicting high use.
func (n *node) keepLoan() {
	n.mute()
	b := n.limiter.bucket(time.Now(), "team")
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forecast.expectedUse = 1e12
}

// TestLateConfirmation checks that the answer to a demand that was sent before a pause does not end the
// suspension of the loans after the pause.
func TestLateConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(7, 1, 3, nil)
		f.setTeam("team", 1000, 3000)
		go f.keepElecting()
		time.Sleep(5 * time.Second)
		n := f.node("d0-0")
		n.request("team", 10, 10, 0)
		time.Sleep(time.Second)
		n.mute()
		b := n.limiter.borrowers[0]
		sent := time.Now()
		b.mu.Lock()
		demand := &limiterpb.Demand{
			Epoch:   b.epoch,
			Session: b.session,
		}
		b.mu.Unlock()
		time.Sleep(time.Millisecond)
		b.suspend(time.Now())
		grant := &limiterpb.Grant{
			Member:  true,
			Reserve: true,
		}
		b.apply(sent, demand, grant)
		is.True(!n.request("team", 1, 1, 0))
		b.apply(time.Now(), demand, grant)
		is.True(n.request("team", 1, 1, 0))
		f.stop()
	})
}
