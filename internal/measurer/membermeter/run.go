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
	// warmUp lets the views of many members converge, which takes twenty
	// intervals of heartbeats, before the measured time.
	warmUp = 12 * time.Second
	// fewWarmUp is enough for up to fewMembers.
	fewWarmUp  = 5 * time.Second
	fewMembers = 4
	// measure is the measured time of a number of duties, measureMembers that
	// of a number of members.
	measure        = 6 * time.Second
	measureMembers = 4 * time.Second
)

// Run measures membership by the number of members and writes a table to out.
// Bytes are sent and received, with the headers of IP and UDP.
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

func shapes() []shape {
	var all []shape
	for _, members := range []int{1, 4, 16, 64} {
		all = append(all, shape{
			domains:    1,
			members:    members,
			neighbours: 8,
		})
	}
	return append(all, shape{
		domains:    4,
		members:    16,
		neighbours: 4,
	})
}

func measureShape(ctx context.Context, s shape) (string, error) {
	empty := heap()
	f, err := newFleet(ctx, s)
	if err != nil {
		return "", err
	}
	defer f.stop()
	if s.domains*s.members > fewMembers {
		waiter.Pause(ctx, warmUp)
	} else {
		waiter.Pause(ctx, fewWarmUp)
	}
	before, cpu, start := f.traffic(), processor(), time.Now()
	waiter.Pause(ctx, measureMembers)
	after, used := f.traffic(), processor()-cpu
	seconds := time.Since(start).Seconds()
	nodes := float64(s.domains * s.members)
	messages := float64(after.messages-before.messages) / seconds / nodes
	bytes := float64(after.bytes-before.bytes) / seconds / nodes
	return fmt.Sprintf("%7d %7d %10d %10.1f %7.0f %13.0f %4.2f %5.1f %9.0f %7.2f", s.domains, s.members, s.neighbours,
		messages, bytes, bytes/max(messages, 1)/2, 100*used.Seconds()/seconds/nodes, float64(after.links)/nodes,
		float64(heap()-empty)/float64(max(after.links, 1)), float64(after.reads-before.reads)/seconds/nodes), ctx.Err()
}

// heap is the memory of heap and stacks in use, in bytes.
func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// processor is the time that this process has used.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
