package membermeter

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// warmUp is the time before the measured time in which the membership views of
	// many members converge, which takes twenty heartbeat intervals.
	warmUp = 12 * time.Second
	// shortWarmUp is the warm-up of fleets with up to fewMembers, for which it suffices.
	shortWarmUp = 5 * time.Second
	fewMembers  = 4
	// dutiesTime is the measured time for each number of duties, membersTime that
	// for each number of members.
	dutiesTime  = 6 * time.Second
	membersTime = 4 * time.Second
)

// Run measures the cost of membership by the number of members and writes a
// table. Bytes are those sent and received, including IP and UDP headers.
func Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "domains members neighbours messages/s bytes/s bytes/message cpu% links heap/link lists/s   (a node)")
	for _, s := range shapes() {
		row, err := measureShape(ctx, s)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(out, row)
	}
	return nil
}

func shapes() []fleetShape {
	var all []fleetShape
	for _, members := range []int{1, 4, 16, 64} {
		all = append(all, fleetShape{
			domains:    1,
			members:    members,
			neighbours: 8,
		})
	}
	return append(all, fleetShape{
		domains:    4,
		members:    16,
		neighbours: 4,
	})
}

// measureShape returns the table's row for one shape, with figures per node.
func measureShape(ctx context.Context, s fleetShape) (string, error) {
	memoryBefore := memoryInUse()
	f, err := newFleet(ctx, s)
	if err != nil {
		return "", err
	}
	defer f.stop()
	if s.domains*s.members > fewMembers {
		waiter.Pause(ctx, warmUp)
	} else {
		waiter.Pause(ctx, shortWarmUp)
	}
	before, cpuBefore, start := f.traffic(), cpuTime(), time.Now()
	waiter.Pause(ctx, membersTime)
	after, cpuUsed := f.traffic(), cpuTime()-cpuBefore
	seconds := time.Since(start).Seconds()
	nodes := float64(s.domains * s.members)
	messages := float64(after.messages-before.messages) / seconds / nodes
	bytes := float64(after.bytes-before.bytes) / seconds / nodes
	return fmt.Sprintf("%7d %7d %10d %10.1f %7.0f %13.0f %4.2f %5.1f %9.0f %7.2f", s.domains, s.members, s.neighbours,
		messages, bytes, bytes/max(messages, 1)/2, 100*cpuUsed.Seconds()/seconds/nodes, float64(after.links)/nodes,
		float64(memoryInUse()-memoryBefore)/float64(max(after.links, 1)), float64(after.listReads-before.listReads)/seconds/nodes), ctx.Err()
}

// memoryInUse returns the memory of heap and stacks in use after a garbage collection, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
