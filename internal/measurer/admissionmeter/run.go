package admissionmeter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

const (
	// targetTestTime is the measured time in the test of the targets, fullTime that in
	// a full run of the measurements and shortTime that in a short run.
	targetTestTime = 60 * time.Second
	fullTime       = 20 * time.Second
	shortTime      = 6 * time.Second
	// warmUpTime is the time before the measured time in which the limiters' pools fill,
	// shortWarmUpTime that in a short run.
	warmUpTime      = 15 * time.Second
	shortWarmUpTime = 4 * time.Second
	// downTime is the time from an instance's kill to its restart, frozenTime the
	// time for which another is frozen, partitionTime the time for which a domain
	// cannot reach the store.
	downTime      = 5 * time.Second
	frozenTime    = 3 * time.Second
	partitionTime = 8 * time.Second
	// holdTime is the maximum duration of a request.
	holdTime = 2 * time.Second
)

// Run measures the three modes concurrently under the same arrivals, with and
// without faults, and writes lines of key=value pairs: one for each team and a
// summary of each mode.
func Run(ctx context.Context, out io.Writer, short bool) error {
	span := Span{
		Warm:     warmUpTime,
		Measured: fullTime,
	}
	if short {
		span.Warm, span.Measured = shortWarmUpTime, shortTime
	}
	var group sync.WaitGroup
	var withoutFaults, withFaults map[string][]Result
	group.Go(func() { withoutFaults = Measure(ctx, span, false) })
	group.Go(func() { withFaults = Measure(ctx, span, true) })
	group.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := writeResults(out, span, false, withoutFaults); err != nil {
		return err
	}
	return writeResults(out, span, true, withFaults)
}

// writeResults writes the results of all teams and the summary of each mode.
func writeResults(out io.Writer, span Span, faults bool, results map[string][]Result) error {
	for _, mode := range modes() {
		for _, r := range results[mode] {
			_, err := fmt.Fprintf(out, "mode=%s faults=%t team=%s over=%.0f asked=%d refused=%d refused_part=%.5f served=%.4f\n",
				mode, faults, r.Team, r.Over, r.Asked, r.Refused, fraction(r.Refused, r.Asked), r.Served)
			if err != nil {
				return err
			}
		}
		s := Summarize(mode, results[mode])
		_, err := fmt.Fprintf(out, "mode=%s faults=%t seconds=%.0f over=%.0f refused_inside_rate=%.5f worst_served=%.4f\n",
			s.Mode, faults, span.Measured.Seconds(), s.Over, s.RefusedFraction, s.WorstServed)
		if err != nil {
			return err
		}
	}
	return nil
}

// modes returns the product's mode of dividing rates and the two baselines.
func modes() []string {
	return []string{parser.LimitLoans, parser.LimitEqual, parser.LimitHome}
}

// Summary combines the results of all teams in one mode.
type Summary struct {
	// Mode is one of the parser.Limit constants.
	Mode string
	// Over is the largest excess of any team, in tokens.
	Over float64
	// RefusedFraction is the fraction of the requests inside the rate that was refused.
	RefusedFraction float64
	// WorstServed is the worst-served team's fraction of its max-min fair share.
	WorstServed float64
}

// Summarize combines the results of all teams. Only teams that offer less than
// their rate count for the refusals.
func Summarize(mode string, results []Result) Summary {
	s := Summary{
		Mode:        mode,
		WorstServed: 1,
	}
	asked, refused := 0, 0
	for i, r := range results {
		s.Over = max(s.Over, r.Over)
		s.WorstServed = min(s.WorstServed, r.Served)
		if teamLoads()[i].offered < 1 {
			asked += r.Asked
			refused += r.Refused
		}
	}
	s.RefusedFraction = fraction(refused, asked)
	return s
}

func fraction(count, total int) float64 {
	return float64(count) / float64(max(total, 1))
}

// Span holds the durations of a measurement.
type Span struct {
	// Warm is the warm-up before the measured time.
	Warm time.Duration
	// Measured is the measured time.
	Measured time.Duration
}

// Measure runs all modes concurrently and returns the teams' results by mode.
func Measure(ctx context.Context, span Span, faults bool) map[string][]Result {
	var mu sync.Mutex
	var wait sync.WaitGroup
	results := make(map[string][]Result)
	for _, mode := range modes() {
		wait.Go(func() {
			teamResults := newSite(mode, 1).measure(ctx, span, faults)
			mu.Lock()
			defer mu.Unlock()
			results[mode] = teamResults
		})
	}
	wait.Wait()
	return results
}

// measure runs the site's mode and returns the teams' results.
func (s *site) measure(ctx context.Context, span Span, faults bool) []Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, spec := range instanceSpecs() {
		s.startInstance(ctx, spec)
	}
	go s.loop(ctx)
	var wait sync.WaitGroup
	stop := time.Now().Add(span.Warm + span.Measured)
	measuredFrom := time.Now().Add(span.Warm)
	for n, team := range teamLoads() {
		t := newTraffic(s, team, uint64(n), measuredFrom, stop)
		wait.Go(func() { t.run(ctx) })
	}
	if faults {
		wait.Go(func() { s.injectFaults(ctx, span) })
	}
	wait.Wait()
	results := make([]Result, 0, len(teamLoads()))
	for _, team := range teamLoads() {
		results = append(results, s.ledger.result(team, stop))
	}
	return results
}

// injectFaults kills and restarts an instance in one domain, freezes an instance
// of another domain and partitions the third from the store.
func (s *site) injectFaults(ctx context.Context, span Span) {
	step := span.Measured / 6
	waiter.Pause(ctx, span.Warm+step)
	killed := s.instance("a-0")
	killed.kill()
	waiter.Pause(ctx, min(downTime, step))
	s.startInstance(ctx, killed.spec)
	waiter.Pause(ctx, step)
	frozen := s.instance("b-1")
	frozen.freeze()
	waiter.Pause(ctx, min(frozenTime, step))
	frozen.thaw()
	s.setPartitioned("c")
	waiter.Pause(ctx, min(partitionTime, step))
	s.setPartitioned("")
}

// setPartitioned partitions a domain from the store; an empty name ends the partition.
func (s *site) setPartitioned(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = domain
}
