package prover_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/emulator/recorder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/servicer"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// leaveTimeout is the time within which an upstream that reports leaving must stop getting new requests.
const leaveTimeout = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWork lets one of two services of a domain report
// that it is leaving, under constant load: it must get no further calls, and
// none may fail. The service is known to leave only from its own load report.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	config := twoDomains()
	config.Domains[0].Services = 2
	ctx, fixture := prepare(t, config, prover.Setup{})
	site := fixture.Site
	caller := fixture.Caller(site.Instances[0])
	var stopped atomic.Bool
	var failed atomic.Int64
	var group sync.WaitGroup
	for c := range 4 {
		group.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				if answer := caller.Post(ctx, prover.Path+"returns", "", []byte(fmt.Sprint(c, n))); !answer.Complete {
					failed.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	calls := func(service *starter.Process) int {
		var journal recorder.Journal[servicer.Call]
		is.NoErr(site.Read(ctx, service.Callers, "/control/journal", &journal))
		return len(journal.Entries)
	}
	leaving, staying := site.Services[0], site.Services[1]
	eventually(t, "both services receive calls", func() bool { return calls(leaving) > 20 && calls(staying) > 20 })
	is.NoErr(site.Post(ctx, leaving.Callers, "/control/leave", struct{}{}))
	time.Sleep(leaveTimeout)
	before, others := calls(leaving), calls(staying)
	eventually(t, "the remaining service receives calls", func() bool { return calls(staying) > others+100 })
	is.Equal(calls(leaving), before)
	stopped.Store(true)
	group.Wait()
	is.Equal(failed.Load(), int64(0))
}
