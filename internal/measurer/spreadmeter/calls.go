package spreadmeter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// measureCalls counts the store calls of a site of the present size: first while
// it is idle, then for each act. From both it computes the calls per second at the
// target's size. Idle calls are proportional to the number of watchers, of which
// each domain has two. The calls for an act grow by one for each further watcher,
// since each sends a new watch after it.
func measureCalls(ctx context.Context, config Config, out io.Writer) error {
	f := newFleet(ctx, siteInstances, siteDomains)
	defer f.stop()
	atStart := f.platform.Counts()
	if !waiter.Pause(ctx, config.Idle) {
		return ctx.Err()
	}
	afterIdle := f.platform.Counts()
	for number := range config.Acts {
		if _, err := f.nodes[number%siteInstances].Act(ctx, act(number)); err != nil {
			return err
		}
	}
	// In this time the last watches return and are sent again.
	waiter.Pause(ctx, time.Second)
	afterActs := f.platform.Counts()
	idle := perSecond(totalCalls(afterIdle)-totalCalls(atStart), config.Idle)
	reads := float64(afterActs.Reads-afterIdle.Reads) / float64(config.Acts)
	writes := float64(afterActs.Writes-afterIdle.Writes) / float64(config.Acts)
	target := idle*targetDomains/siteDomains +
		(reads+writes+(targetDomains-siteDomains)*watchers)*targetActs/secondsPerDay
	site := idle + (reads+writes)*targetActs/secondsPerDay
	_, err := fmt.Fprintf(out,
		"measure=calls instances=%d idle=%.3f reads=%.2f writes=%.2f site=%.3f target=%d computed=%.3f digest=%d\n",
		siteInstances, idle, reads, writes, site, targetInstances, target, len(f.nodes[0].Digest()))
	return err
}

func totalCalls(counts platformer.Counts) int64 { return counts.Reads + counts.Writes }

func perSecond(count int64, span time.Duration) float64 { return float64(count) / span.Seconds() }
