package router_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/router"
)

func TestInstancesAgreeOnTheUpstreamOfAPrefix(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	first, second := f.router(), f.router()
	for prefix := uint64(1); prefix < 100; prefix++ {
		prefixed := router.Need{
			Checkpoint: "m-1",
			Prefix:     prefix,
		}
		a, ok := first.Pick(prefixed)
		is.True(ok)
		b, ok := second.Pick(prefixed)
		is.True(ok)
		is.Equal(a.Upstream, b.Upstream)
		a.Done(router.Good)
		b.Done(router.Good)
	}
}

func TestPrefixHintYieldsToLoadAndReadiness(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	r := f.router()
	prefixed := router.Need{
		Checkpoint: "m-1",
		Prefix:     5,
	}
	r.RecordCacheEvent("engine1", "5", true)
	r.RecordCacheEvent("engine1", "no number", true)
	choice, ok := r.Pick(prefixed)
	is.True(ok)
	is.Equal(choice.Upstream, "engine1")
	f.change(r, "engine1", func(report *reporter.Report) { report.Running = 5 })
	choice, ok = r.Pick(prefixed)
	is.True(ok)
	is.Equal(choice.Upstream, "engine0")
	f.change(r, "engine0", func(report *reporter.Report) { report.Copies = nil })
	_, ok = r.Pick(prefixed)
	is.True(!ok)
}

func TestPinnedCallsStayOnOneInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for i := range f.rows {
		f.rows[i].Role = "service"
		f.rows[i].Service = "depot"
	}
	f.reports = map[string]reporter.Report{}
	r := f.router()
	first, ok := r.PickService("depot", "k", nil)
	is.True(ok)
	for range 5 {
		choice, ok := r.PickService("depot", "k", nil)
		is.True(ok)
		is.Equal(choice.Upstream, first.Upstream)
	}
	_, ok = r.PickService("depot", "k", []string{first.Upstream})
	is.True(!ok)
}
