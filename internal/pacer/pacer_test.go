package pacer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// allowed is the platform's bound on the requests in 4 s.
func allowed(rate float64) int { return int(1.5*4*rate) + 5 }

// TestAllInstancesTogetherKeepToALimit plays limits from far below to far above one request a second and instance.
func TestAllInstancesTogetherKeepToALimit(t *testing.T) {
	for _, instances := range []int{1, 6, 295} {
		for _, rate := range []float64{0, 0.1, 1, 1.1, 20, 100} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestSite(t, instances)
				s.press(300*time.Millisecond, "u", rate, s.all()...)
				told := time.Now()
				s.press(9*time.Second, "u", rate, s.all()...)
				messages, bytes := s.traffic()
				t.Logf("instances=%d rate=%v most=%d arrived=%d messages=%d bytes=%d",
					instances, rate, s.most("u", told), len(s.arrivals["u"])-instances, messages, bytes)
				is.True(s.most("u", told) <= allowed(rate))
				// The upstream gets what it takes, but for the permits that the last window has not used.
				is.True(float64(len(s.arrivals["u"])-instances) >= 0.8*rate*9-2)
			})
		}
	}
}

// TestOneInstanceWithAllDemandGetsTheWholeLimit guards against a division of the limit into equal shares.
func TestOneInstanceWithAllDemandGetsTheWholeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 7)
		s.press(100*time.Millisecond, "u", 10, s.all()...)
		before := len(s.arrivals["u"])
		s.press(10*time.Second, "u", 10, 3)
		is.True(len(s.arrivals["u"])-before >= 90)
	})
}

// TestLimitHoldsWhileItsHolderIsSilentOrReplaced plays holders that are cut off, vanish and are replaced.
func TestLimitHoldsWhileItsHolderIsSilentOrReplaced(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 10, 50} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t, 7)
			s.press(time.Second, "u", rate, s.all()...)
			told := time.Now()
			s.press(3*time.Second, "u", rate, s.all()...)
			s.setCut(0, true) // it goes on granting to itself
			s.press(5*time.Second, "u", rate, s.all()...)
			s.setHolder(1)
			s.press(5*time.Second, "u", rate, s.all()[1:]...)
			s.setCut(0, false)
			s.setHolder(-1)
			alone := len(s.arrivals["u"])
			s.press(30*time.Second, "u", rate, s.all()...)
			t.Logf("rate=%v alone=%d most=%d", rate, len(s.arrivals["u"])-alone, s.most("u", told))
			is.True(float64(len(s.arrivals["u"])-alone) >= 0.2*rate*30-1) // served without a holder
			s.setHolder(2)
			s.press(5*time.Second, "u", rate, s.all()...)
			is.True(s.most("u", told) <= allowed(rate))
		})
	}
}

// TestLimitThatFallsHoldsAtOnce guards against permits of a former, higher limit.
func TestLimitThatFallsHoldsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 7)
		s.press(4*time.Second, "u", 100, s.all()...)
		s.press(500*time.Millisecond, "u", 1, s.all()...)
		told := time.Now()
		s.press(8*time.Second, "u", 1, s.all()...)
		is.True(s.most("u", told) <= allowed(1))
	})
}

// TestLimitThatFallsToNothingGivesNoPermitOfTheFormerOne guards against the permit that the former limit would have made
// due next, and against permits that are still unused. Seed 7 of the fault soak showed both.
func TestLimitThatFallsToNothingGivesNoPermitOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 7)
		s.press(4*time.Second, "u", 10, s.all()...)
		for !s.send(3, "u", 0) {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * testDelay) // the holder hears of it
		s.gossip()
		s.arrivals["u"] = nil
		s.press(10*time.Second, "u", 0, s.all()...)
		is.Equal(len(s.arrivals["u"]), 0)
	})
}

// TestLimitThatRisesOrEndsHoldsNothingBack checks that a raised limit is used, and that an ended one ends for
// the instances that have not sent anything since.
func TestLimitThatRisesOrEndsHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 3)
		s.press(5*time.Second, "u", 0.1, s.all()...)
		s.press(11*time.Second, "u", 50, s.all()...) // the first answer may be 10 s away
		before := len(s.arrivals["u"])
		s.press(2*time.Second, "u", 50, s.all()...)
		is.True(len(s.arrivals["u"])-before >= 90)
		s.press(4*time.Second, "u", -1, 0)
		s.gossip()
		is.Equal(s.pacers[2].Admit(upstream("u")), Admitted)
		is.True(!s.pacers[2].State(upstream("u")).Limited)
	})
}

// TestLimitKnownToOneInstanceSpreads checks that instances keep to a limit that only another one was told.
func TestLimitKnownToOneInstanceSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 20)
		s.send(4, "u", 1)
		s.gossip()
		s.arrivals["u"] = nil
		s.press(8*time.Second, "u", 1, s.all()...)
		is.True(s.most("u", time.Time{}) <= allowed(1))
		// A peer that gets answers without the limit does not end it for one that has just got it.
		s.send(4, "v", 1)
		time.Sleep(time.Second)
		s.pacers[5].learn(limit{
			limited: true,
			rate:    1,
			at:      time.Now().Add(-time.Minute),
		}.encode(upstream("v"), time.Now()))
		s.pacers[5].Observe(upstream("v"), Statement{
			Sent: time.Now(),
		})
		s.gossip()
		is.True(s.pacers[4].State(upstream("v")).Limited)
	})
}

// TestLimitEndsWithAnAnswerToALaterRequest checks that an answer without a limit counts only if its request was sent
// after the last answer that stated one: answers overtake each other.
func TestLimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestSite(t, 1).pacers[0]
		limited := func() bool { return p.Dump().([]Row)[0].Limited }
		p.Observe(upstream("u"), Statement{
			Sent: time.Now(),
		})
		is.Equal(p.Dump(), []Row{}) // nothing is kept of upstreams without a limit
		p.Observe(upstream("u"), Statement{
			Limited: true,
			Rate:    2,
			Sent:    time.Now(),
		})
		p.CountSent(upstream("u"), false)
		p.CountSent(upstream("u"), true)
		is.Equal(p.Dump(), []Row{
			{
				Upstream: "u",
				Limited:  true,
				Rate:     2,
				Stated:   time.Now(),
				Own:      time.Now(),
				First:    1,
				Repeated: 1,
			},
		})
		p.Observe(upstream("u"), Statement{
			Sent: time.Now().Add(-time.Millisecond),
		})
		is.True(limited())
		p.Observe(upstream("u"), Statement{
			Sent: time.Now().Add(time.Millisecond),
		})
		is.True(!limited())
	})
}

// TestResumedStreamComesBeforeOtherRequests guards against a broken stream that gets no permit beside many requests
// that wait for one.
func TestResumedStreamComesBeforeOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 1)
		p := s.pacers[0]
		is.True(p.AwaitPermit(context.Background(), upstream("u"))) // no limit
		s.press(time.Second, "u", 2, 0)
		var others sync.WaitGroup
		others.Go(func() { s.press(3*time.Second, "u", 2, 0) })
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		is.True(p.AwaitPermit(context.Background(), upstream("u")))
		is.True(time.Since(began) <= 600*time.Millisecond) // the next permit
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		is.True(!p.AwaitPermit(ctx, upstream("u")))
		others.Wait()
		is.True(s.most("u", time.Time{}) <= allowed(2))
	})
}

// TestAnotherDomainGrantsForOneWithoutInstances checks that all instances agree on who grants the permits for the
// upstreams of a failure domain whose instances are gone.
func TestAnotherDomainGrantsForOneWithoutInstances(t *testing.T) {
	is := is.New(t)
	domains := []string{"a", "b", "c"}
	alive := map[string][]tracker.Member{"a": {{}}, "c": {{}}}
	for _, self := range []string{"a", "c"} {
		p := New(Config{
			Self: messenger.Sender{
				Domain: self,
			},
			Domains:     domains,
			LiveMembers: func(domain string) []tracker.Member { return alive[domain] },
		})
		is.Equal(p.grantingDomain("a"), "a")
		is.Equal(p.grantingDomain("b"), "c")
		is.Equal(p.grantingDomain("c"), "c")
	}
}

// TestRateThatVariesIsReportedOnlyIfItChangesNotably guards against a message and a log line for each answer.
func TestRateThatVariesIsReportedOnlyIfItChangesNotably(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	now := time.Unix(1000, 0)
	observe := func(rate float64) bool {
		now = now.Add(time.Second)
		return g.observe(now, Statement{
			Limited: true,
			Rate:    rate,
			Sent:    now,
		})
	}
	is.True(observe(10))
	is.True(!observe(10.5))
	is.True(!observe(9.5))
	is.Equal(g.limit.rate, 9.5)
	is.True(!observe(11))
	is.True(observe(11.5)) // a slow rise is reported, too
	is.True(observe(1))
	is.True(observe(0))
}

// TestStateWithoutAHolderNamesTheNextPermit guards against requests that wait for a permit which has expired.
func TestStateWithoutAHolderNamesTheNextPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 2)
		s.setHolder(-1)
		s.press(time.Second, "u", 0.5, 1)
		time.Sleep(time.Minute)
		at := s.pacers[1].State(upstream("u")).Next
		is.True(time.Since(at) <= fallbackTTL)
	})
}

// TestRefusedCallersComeBackOneByOne checks that callers that are refused together are not told the same time.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 1)
		s.send(0, "u", 2)
		earliest := time.Now().Add(time.Second)
		for k := range 5 {
			is.Equal(s.pacers[0].RetryTime(upstream("u"), earliest), earliest.Add(time.Duration(k)*500*time.Millisecond))
		}
	})
}
