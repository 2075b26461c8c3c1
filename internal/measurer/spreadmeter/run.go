package spreadmeter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Config configures a measurement.
type Config struct {
	// Acts is the number of acts at each number of instances; zero means 200.
	Acts int
	// Idle is the time for which an idle fleet's store calls are counted; zero means 65 seconds.
	Idle time.Duration
	// Adapters is the highest number of adapters; zero means 40,000.
	Adapters int
}

// The sizes for which results are measured or computed.
const (
	// targetInstances, targetDomains and targetActs are the target's size, with its acts per day.
	targetInstances = 370
	targetDomains   = 4
	targetActs      = 2000
	secondsPerDay   = 86_400
	// siteInstances and siteDomains are the size of a present site.
	siteInstances = 7
	siteDomains   = 3
	// watchers is the number of instances in each domain that watch the store.
	watchers = 2
)

func (c Config) withDefaults() Config {
	if c.Acts <= 0 {
		c.Acts = 200
	}
	if c.Idle <= 0 {
		c.Idle = 65 * time.Second
	}
	if c.Adapters <= 0 {
		c.Adapters = 40_000
	}
	return c
}

// Run runs all measurements and writes one line of key=value pairs for each result.
func Run(ctx context.Context, config Config, out io.Writer) error {
	config = config.withDefaults()
	for _, instances := range []int{1, 2, 4, 8, 16, 32, 64, targetInstances} {
		if err := measureInstances(ctx, config, instances, out); err != nil {
			return err
		}
	}
	for _, divisor := range []int{8, 4, 2, 1} {
		if err := measureAdapters(config.Adapters/divisor, out); err != nil {
			return err
		}
	}
	return measureCalls(ctx, config, out)
}

// act returns a change of the kind that operators make most often: it sets a team's rate.
func act(number int) configurator.Change {
	return configurator.Change{
		ID:       fmt.Sprintf("act-%08d", number),
		Operator: "measurer",
		At:       time.Unix(int64(number), 0).UTC(),
		Operations: []configurator.Operation{{
			Action: configurator.ActionPut,
			Team: &configurator.Team{
				Name:  fmt.Sprintf("team%d", number%5),
				Rate:  float64(number),
				Burst: 1000,
			},
		}},
	}
}

// measureInstances measures the messages, bytes, CPU time and latency of acts in
// a fleet of the given size, and the bytes of its start.
func measureInstances(ctx context.Context, config Config, instances int, out io.Writer) error {
	f := newFleet(ctx, instances, min(instances, targetDomains))
	defer f.stop()
	startBytes := f.bytes.Load() / int64(instances)
	f.resetCounts()
	var latencies []time.Duration
	inForce := 0
	before := cpuTime()
	for number := range config.Acts {
		sent := time.Now()
		receipt, err := f.nodes[0].Act(ctx, act(number))
		if err != nil {
			return err
		}
		latencies = append(latencies, time.Since(sent))
		inForce += receipt.InForce
	}
	used := cpuTime() - before
	acts := int64(config.Acts)
	slices.Sort(latencies)
	_, err := fmt.Fprintf(out,
		"measure=instances instances=%d acts=%d inforce=%.4f messages=%d bytes=%d busiest=%d start=%d cpu=%s cpuinstance=%s p50=%s p99=%s\n",
		instances, acts, float64(inForce)/float64(acts*int64(instances)),
		f.messages.Load()/acts, f.bytes.Load()/acts, f.busiestBytes()/acts, startBytes,
		(used / time.Duration(acts)).Round(time.Microsecond),
		(used / time.Duration(acts) / time.Duration(instances)).Round(time.Microsecond),
		latencies[len(latencies)/2].Round(time.Microsecond),
		latencies[len(latencies)*99/100].Round(time.Microsecond))
	return err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
