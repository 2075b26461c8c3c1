package membermeter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// RunDuties measures the cost of duties by their number, with the store reachable
// and then unreachable, and writes a table. All figures are for a failure domain
// of 4 instances.
func RunDuties(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "duties store  reads/s writes/s messages/s cpu%")
	for _, count := range []int{1, 8, 16, 32} {
		if err := measureDuties(ctx, out, count); err != nil {
			return err
		}
	}
	return nil
}

// measureDuties writes the rows of one number of duties.
func measureDuties(ctx context.Context, out io.Writer, count int) error {
	f, err := newFleet(ctx, fleetShape{
		domains:    1,
		members:    4,
		neighbours: 8,
		duties:     count,
	})
	if err != nil {
		return err
	}
	defer f.stop()
	waiter.Pause(ctx, warmUp)
	_, _ = fmt.Fprintln(out, f.dutyRow(ctx, count, "up"))
	f.platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageHang,
	})
	waiter.Pause(ctx, dutiesTime)
	_, _ = fmt.Fprintln(out, f.dutyRow(ctx, count, "out"))
	return ctx.Err()
}

// dutyRow measures store calls, renewal messages and CPU time and returns a row of
// the table, in which store is the state of the store.
func (f *fleet) dutyRow(ctx context.Context, count int, store string) string {
	sentCounter := metrics.GetOrCreateCounter(`buckthorngap_messages_sent_total{topic="dutyrenewal"}`)
	before, sentBefore, cpuBefore, start := f.platform.Counts(), sentCounter.Get(), cpuTime(), time.Now()
	waiter.Pause(ctx, dutiesTime)
	seconds := time.Since(start).Seconds()
	after := f.platform.Counts()
	return fmt.Sprintf("%6d %5s %8.2f %8.2f %10.2f %4.2f", count, store,
		float64(after.Reads-before.Reads)/seconds, float64(after.Writes-before.Writes)/seconds,
		float64(sentCounter.Get()-sentBefore)/seconds, 100*(cpuTime()-cpuBefore).Seconds()/seconds)
}
