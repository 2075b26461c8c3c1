package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitEndsWithAnAnswerToALaterRequest checks that an answer without a limit counts only if its request was sent
// after the last answer that stated one: answers overtake each other.
func TestLimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(Config{
		Now: func() time.Time { return now },
	})
	upstream := Upstream{
		Name: "a",
	}
	limited := func() bool { return p.Dump().([]Row)[0].Limited }
	p.Observe(upstream, Statement{
		Sent: now,
	})
	is.Equal(p.Dump(), []Row{}) // nothing is kept of upstreams without a limit
	p.Observe(upstream, Statement{
		Limited: true,
		Rate:    2,
		Sent:    now,
	})
	p.CountSent(upstream, false)
	p.CountSent(upstream, true)
	is.Equal(p.Dump(), []Row{
		{
			Upstream: "a",
			Limited:  true,
			Rate:     2,
			Stated:   now,
			First:    1,
			Repeated: 1,
		},
	})
	p.Observe(upstream, Statement{
		Sent: now.Add(-time.Millisecond),
	})
	is.True(limited())
	p.Observe(upstream, Statement{
		Sent: now.Add(time.Millisecond),
	})
	is.True(!limited())
}
