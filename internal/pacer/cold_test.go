package pacer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// coldRate is the number of requests per second that the engine of the tests tolerates while it is cold.
const coldRate = 7.5

// allowedCold is the platform's bound on the requests that a cold engine gets in a second.
func allowedCold() float64 { return 1.5*coldRate + 5 }

// mostInASecond returns the largest number of requests that reached an upstream in a second, in a span of time.
func (s *testSite) mostInASecond(name string, from, to time.Time) int {
	most, first := 0, 0
	arrivals := s.arrivals[name]
	for last, at := range arrivals {
		for arrivals[first].Before(from) && first < last || at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		if !arrivals[first].Before(from) && at.Before(to) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// chill has instances read the entry of an engine that stays cold for a time.
func (s *testSite) chill(left time.Duration, instances ...int) {
	for _, number := range instances {
		s.pacers[number].ObserveCold(upstream("u"), left, coldRate)
	}
}

// TestAllInstancesTogetherKeepToWhatAColdEngineTolerates guards against a crowd at an engine that has just started or comes back:
// with a holder, with one that is cut off or replaced, without one, and at the end of the time.
func TestAllInstancesTogetherKeepToWhatAColdEngineTolerates(t *testing.T) {
	for _, instances := range []int{1, 6, 58, 295} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestSite(t, instances)
			began := time.Now()
			s.chill(6*time.Second, s.all()...)
			s.press(2*time.Second, "u", -1, s.all()...)
			served := len(s.arrivals["u"])
			s.setCut(0, true) // it goes on granting to itself
			s.press(time.Second, "u", -1, s.all()...)
			s.setHolder(instances - 1)
			s.press(time.Second, "u", -1, s.all()...)
			s.setCut(0, false)
			s.setHolder(-1)
			s.press(2*time.Second-10*time.Millisecond, "u", -1, s.all()...)
			most := s.mostInASecond("u", began, began.Add(6*time.Second))
			t.Logf("instances=%d most=%d served=%d of %.0f", instances, most, served, 2*coldRate)
			is.True(float64(most) <= allowedCold()) // FAILBACK
			is.True(float64(served) >= 0.8*2*coldRate)
			s.press(time.Second, "u", -1, s.all()...)
			is.True(s.mostInASecond("u", began.Add(6*time.Second), time.Now()) > 100) // it is not held back for longer
		})
	}
}

// TestColdEngineIsKnownFromOthers guards against instances that have not read its entry yet, and against one that ends the time early or
// never.
func TestColdEngineIsKnownFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 3)
		s.chill(4*time.Second, 1)
		is.True(!s.pacers[2].State(upstream("u")).Limited)
		is.True(!s.send(1, "u", -1)) // asks the holder
		time.Sleep(10 * time.Millisecond)
		is.True(s.pacers[0].State(upstream("u")).Limited) // the holder knows it from the request
		s.pacers[2].HandleAttachment(messenger.Peer{}, s.pacers[1].Attachment())
		is.Equal(s.pacers[2].State(upstream("u")).Rate, coldRate)
		s.pacers[2].ExtendCold(upstream("u"), time.Second, coldRate)
		time.Sleep(2 * time.Second)
		is.True(s.pacers[2].State(upstream("u")).Limited)
		s.chill(0, 1) // its entry says that it is not cold any more
		is.True(s.send(1, "u", -1))
		time.Sleep(3 * time.Second)
		is.True(!s.pacers[2].State(upstream("u")).Limited)
		is.Equal(len(s.pacers[2].Attachment()), 0)
	})
}

// TestColdEngineKeepsToItsStatedLimit guards against a limit that is forgotten or raised while an engine is cold.
func TestColdEngineKeepsToItsStatedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestSite(t, 1)
		is.True(s.send(0, "u", 3))
		s.chill(2*time.Second, 0)
		is.Equal(s.pacers[0].State(upstream("u")).Rate, 3.0)
		s.pacers[0].Observe(upstream("u"), Statement{
			Limited: true,
			Rate:    40,
		})
		is.Equal(s.pacers[0].State(upstream("u")).Rate, coldRate)
		time.Sleep(3 * time.Second)
		is.Equal(s.pacers[0].State(upstream("u")).Rate, 40.0)
	})
}
