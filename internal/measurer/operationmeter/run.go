// Package operationmeter measures, with real processes, how fast acts and
// withdrawals are in force everywhere and what control costs a node.
package operationmeter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/operator"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/prover"
	"github.com/buckthorngap/buckthorngap/internal/starter"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Config tells how much to measure.
type Config struct {
	// Directory is where processes keep their files.
	Directory string
	// Source is the root of the module.
	Source string
	// Acts is the number of acts; zero means 200.
	Acts int
	// Withdrawals is the number of withdrawals during an outage; zero means 20.
	Withdrawals int
	// Idle is how long an idle site is watched; zero means 20 s.
	Idle time.Duration
}

// The bounds of the histogram of latencies, in microseconds.
const (
	leastMicroseconds = 1
	mostMicroseconds  = 60_000_000
	digits            = 3
)

// settle lets membership and duties come to rest before an idle site is watched.
const settle = 3 * time.Second

func (c Config) withDefaults() Config {
	if c.Acts == 0 {
		c.Acts = 200
	}
	if c.Withdrawals == 0 {
		c.Withdrawals = 20
	}
	if c.Idle == 0 {
		c.Idle = 20 * time.Second
	}
	return c
}

// Run measures at 7 instances in 3 failure domains and writes one line of
// key=value pairs for each result.
func Run(ctx context.Context, config Config, out io.Writer) error {
	config = config.withDefaults()
	site, err := starter.Start(ctx, starter.Config{
		Directory: config.Directory,
		Source:    config.Source,
		Domains:   sevenInstances(),
		Settings: func(settings *parser.Settings) {
			settings.Shutdown.Notice.Duration = 0
		},
	})
	if err != nil {
		return err
	}
	defer site.Stop()
	run := &run{
		config: config,
		site:   site,
		out:    out,
	}
	for _, step := range []func(context.Context) error{
		run.prepare,
		run.idle,
		run.acts,
		run.withdrawals,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func sevenInstances() []starter.Domain {
	domains := []starter.Domain{
		{
			Name:      "a",
			Instances: 3,
		},
		{
			Name:      "b",
			Instances: 2,
		},
		{
			Name:      "c",
			Instances: 2,
		},
	}
	for k := range domains {
		domains[k].Engines = 2
		domains[k].Services = 1
	}
	return domains
}

// run is one measurement.
type run struct {
	config  Config
	site    *starter.Site
	out     io.Writer
	clients []*operator.Client
}

func (r *run) prepare(ctx context.Context) error {
	_, err := prover.Prepare(ctx, r.site, prover.Setup{
		Models: []string{"ledger"},
		Rate:   1000,
		Burst:  1000,
	})
	if err != nil {
		return err
	}
	for _, instance := range r.site.Instances {
		client, err := r.site.Operator(instance)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, client)
	}
	return nil
}

// idle watches what control costs while no request and no act comes.
func (r *run) idle(ctx context.Context) error {
	if !waiter.Pause(ctx, settle) {
		return ctx.Err()
	}
	before, err := r.observe(ctx)
	if err != nil {
		return err
	}
	if !waiter.Pause(ctx, r.config.Idle) {
		return ctx.Err()
	}
	after, err := r.observe(ctx)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(len(r.site.Instances))
	_, err = fmt.Fprintf(r.out,
		"idle instances=%.0f seconds=%.0f core_percent_node=%.2f resident_mb_node=%.1f sent_kb_second_node=%.2f received_kb_second_node=%.2f store_reads_second=%.1f store_writes_second=%.1f\n",
		count, seconds,
		100*(after.processor-before.processor).Seconds()/seconds/count,
		float64(after.resident)/count/(1<<20),
		(after.sent-before.sent)/seconds/count/1024,
		(after.received-before.received)/seconds/count/1024,
		float64(after.reads-before.reads)/seconds,
		float64(after.writes-before.writes)/seconds)
	return err
}

// acts measures the time from an operator's call until the act is in force everywhere.
func (r *run) acts(ctx context.Context) error {
	histogram := hdrhistogram.New(leastMicroseconds, mostMicroseconds, digits)
	partial := 0
	for n := range r.config.Acts {
		began := time.Now()
		receipt, err := r.clients[n%len(r.clients)].Act(ctx, fmt.Sprintf("act-%d", n), configurator.Operation{
			Action: configurator.ActionPut,
			Team: &configurator.Team{
				Name:  fmt.Sprintf("team-%d", n),
				Rate:  1,
				Burst: 1,
			},
		})
		if err != nil {
			return err
		}
		if receipt.InForce < receipt.Members {
			partial++
		}
		_ = histogram.RecordValue(time.Since(began).Microseconds())
	}
	return r.latency("acts", "up", histogram, partial)
}

// withdrawals measures the same for withdrawals while the store is out.
func (r *run) withdrawals(ctx context.Context) error {
	keys := make([]configurator.Operation, r.config.Withdrawals)
	for n := range keys {
		_, hash := operator.NewSecret()
		keys[n] = configurator.Operation{
			Action: configurator.ActionPut,
			Key: &configurator.Key{
				Name: fmt.Sprintf("key-%d", n),
				Team: prover.Team,
				Hash: hash,
			},
		}
	}
	if _, err := r.clients[0].Act(ctx, "keys", keys...); err != nil {
		return err
	}
	if err := r.site.Fault(ctx, platformer.Faults{
		Outage: platformer.OutageHang,
	}); err != nil {
		return err
	}
	histogram := hdrhistogram.New(leastMicroseconds, mostMicroseconds, digits)
	partial := 0
	for n := range keys {
		began := time.Now()
		receipt, err := r.clients[n%len(r.clients)].Withdraw(ctx, false, configurator.Withdrawal{
			Subject: configurator.SubjectKey,
			Name:    fmt.Sprintf("key-%d", n),
		})
		if err != nil {
			return err
		}
		if receipt.InForce < receipt.Members {
			partial++
		}
		_ = histogram.RecordValue(time.Since(began).Microseconds())
	}
	return r.latency("withdrawals", "out", histogram, partial)
}

func (r *run) latency(what, store string, histogram *hdrhistogram.Histogram, partial int) error {
	_, err := fmt.Fprintf(r.out, "%s instances=%d store=%s count=%d partial=%d p50_ms=%.1f p99_ms=%.1f max_ms=%.1f\n",
		what, len(r.site.Instances), store, histogram.TotalCount(), partial,
		milliseconds(histogram.ValueAtQuantile(50)),
		milliseconds(histogram.ValueAtQuantile(99)),
		milliseconds(histogram.Max()))
	return err
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
