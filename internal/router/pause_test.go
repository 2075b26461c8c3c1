package router_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// pausedSite is a router before two upstreams with many slots, of which tests pause some.
type pausedSite struct {
	*router.Router
	start string
	// gone is set while the upstream is not listed.
	gone bool
	// paused and changed count the calls of the functions of that name.
	paused, changed atomic.Int64
}

var depot = router.Need{
	Service: "depot",
}

func newPausedSite() *pausedSite {
	s := &pausedSite{
		start: "1",
	}
	s.Router = router.New(router.Config{
		Upstreams: func() []storer.Instance {
			if s.gone {
				return nil
			}
			return []storer.Instance{
				{
					Name:    "a",
					Role:    storer.RoleService,
					Service: "depot",
				},
			}
		},
		Report: func(string) (reporter.Report, time.Time, bool) {
			return reporter.Report{
				Start: s.start,
				Slots: 1000,
			}, time.Time{}, !s.gone
		},
		Paused:  func() { s.paused.Add(1) },
		Changed: func() { s.changed.Add(1) },
	})
	s.Refresh()
	return s
}

// relist removes the upstream and lists it again after a time, as a start of its own.
func (s *pausedSite) relist(after time.Duration, start string) {
	s.gone = true
	s.Refresh()
	time.Sleep(after)
	s.gone, s.start = false, start
	s.Refresh()
}

// rows returns what is known of upstreams.
func (s *pausedSite) rows() []router.Row { return s.Dump().([]router.Row) }

// pick places requests until none can be, and returns how many were.
func (s *pausedSite) pick(most int) int {
	for count := range most {
		if _, ok := s.Pick(depot); !ok {
			return count
		}
	}
	return most
}

// TestRequestsGrowSlowlyAfterAPause guards against requests in a pause, and against all of those that waited at its end.
func TestRequestsGrowSlowlyAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newPausedSite()
		choice, _ := s.Pick(depot)
		until := time.Now().Add(2 * time.Second)
		is.True(choice.ObservePause(until))
		is.True(choice.Unwanted())
		is.True(!choice.ObservePause(until.Add(-time.Second))) // an earlier end, of an answer that was overtaken
		is.Equal(s.paused.Load(), int64(1))
		end, paused := s.CooldownEnd(depot)
		is.True(paused)
		is.Equal(end, until)
		is.Equal(s.CountCandidates(depot).Paused, 1)
		time.Sleep(2*time.Second - time.Millisecond)
		is.Equal(s.pick(100), 0) // BUDGET
		time.Sleep(time.Millisecond)
		is.Equal(s.pick(100), 1)
		is.True(!choice.Unwanted())
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.pick(100), 1)
		time.Sleep(200 * time.Millisecond)
		is.Equal(s.pick(100), 6)
		before := s.changed.Load()
		time.Sleep(700 * time.Millisecond)
		is.True(s.changed.Load() >= before+6) // those that wait are told
		is.Equal(s.pick(900), 900)
		_, paused = s.CooldownEnd(depot)
		is.True(!paused)
	})
}

// TestLaterRefusalsExtendAPause guards against a pause that ends by the first of several answers.
func TestLaterRefusalsExtendAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newPausedSite()
		choice, _ := s.Pick(depot)
		is.True(choice.ObservePause(time.Now().Add(time.Second)))
		is.True(!choice.ObservePause(time.Now().Add(3 * time.Second)))
		time.Sleep(2 * time.Second)
		is.Equal(s.pick(10), 0)
		time.Sleep(time.Second)
		is.Equal(s.pick(10), 1)
		is.True(choice.ObservePause(time.Now().Add(time.Second))) // another one
		is.Equal(s.pick(10), 0)
		time.Sleep(2 * time.Second)
	})
}

// TestPauseIsOfOneStart guards against a pause of a former start that keeps the next one without requests.
func TestPauseIsOfOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newPausedSite()
		choice, _ := s.Pick(depot)
		is.True(choice.ObservePause(time.Now().Add(time.Hour)))
		s.start = "2"
		s.Refresh()
		is.Equal(s.pick(50), 50)
		is.True(!choice.ObservePause(time.Now().Add(time.Hour))) // a late answer of the former start
		is.Equal(s.pick(50), 50)
		time.Sleep(2 * time.Hour)
	})
}

// TestRemovedUpstreamIsRemembered guards against an upstream that is cut off from the store and gets, once it is listed again,
// what it had refused; against one that started again and is taken for its former start; and against memory that stays.
func TestRemovedUpstreamIsRemembered(t *testing.T) {
	for _, test := range []struct {
		name  string
		start string
		// answer is what the request brings that runs when the upstream is removed, or before.
		answer func(s *pausedSite, choice *router.Choice)
		picked int
	}{
		{
			name:  "paused",
			start: "1",
			answer: func(_ *pausedSite, choice *router.Choice) {
				choice.ObservePause(time.Now().Add(15 * time.Second))
				choice.Done(router.Neutral)
			},
		},
		{
			name:  "paused by an answer after the removal",
			start: "1",
			answer: func(s *pausedSite, choice *router.Choice) {
				s.relist(0, "1")
				choice.ObservePause(time.Now().Add(15 * time.Second))
				choice.Done(router.Neutral)
			},
		},
		{
			name:   "out of reach",
			start:  "1",
			answer: func(_ *pausedSite, choice *router.Choice) { choice.Done(router.Unreachable) },
		},
		{
			name:   "with a request that still runs",
			start:  "1",
			answer: func(*pausedSite, *router.Choice) {},
			picked: 999,
		},
		{
			name:  "started again",
			start: "2",
			answer: func(_ *pausedSite, choice *router.Choice) {
				choice.ObservePause(time.Now().Add(15 * time.Second))
			},
			picked: 1000,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newPausedSite()
				choice, _ := s.Pick(depot)
				test.answer(s, choice)
				s.relist(time.Second, test.start)
				is.Equal(s.pick(2000), test.picked) // BUDGET
				choice.Done(router.Neutral)
				time.Sleep(time.Hour)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newPausedSite()
		choice, _ := s.Pick(depot)
		choice.ObservePause(time.Now().Add(2 * time.Second))
		choice.Done(router.Neutral)
		s.gone = true
		s.Refresh()
		is.Equal(len(s.rows()), 1)
		time.Sleep(3 * time.Second)
		s.Refresh()
		is.Equal(len(s.rows()), 0) // with its last deadline
	})
}
