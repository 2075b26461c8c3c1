// Package operationmeter measures, with real processes, how fast acts and
// withdrawals come into force everywhere, and the cost of the control plane per
// node.
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

// Config configures a measurement.
type Config struct {
	// Directory holds the files of the processes.
	Directory string
	// Source is the module's root directory.
	Source string
	// Acts is the number of acts; zero means 200.
	Acts int
	// Withdrawals is the number of withdrawals during an outage; zero means 20.
	Withdrawals int
	// Idle is the time for which an idle site is observed; zero means 20 s.
	Idle time.Duration
}

// The bounds of the histogram of latencies, in microseconds, and its precision.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 60_000_000
	significantDigits = 3
)

// settleTime is the time in which membership and duties stabilise before an idle site is observed.
const settleTime = 3 * time.Second

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

// Run measures a site of 7 instances in 3 failure domains and writes one line of
// key=value pairs for each result.
func Run(ctx context.Context, config Config, out io.Writer) error {
	config = config.withDefaults()
	site, err := starter.Start(ctx, starter.Config{
		Directory: config.Directory,
		Source:    config.Source,
		Domains:   sevenInstanceDomains(),
		Settings: func(settings *parser.Settings) {
			settings.Shutdown.Notice.Duration = 0
		},
	})
	if err != nil {
		return err
	}
	defer site.Stop()
	m := &measurement{
		config: config,
		site:   site,
		out:    out,
	}
	for _, step := range []func(context.Context) error{
		m.prepare,
		m.measureIdle,
		m.measureActs,
		m.measureWithdrawals,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func sevenInstanceDomains() []starter.Domain {
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

// measurement holds the site that is measured and an operator's client for each instance.
type measurement struct {
	config  Config
	site    *starter.Site
	out     io.Writer
	clients []*operator.Client
}

// prepare creates the configuration and a client of each instance.
func (m *measurement) prepare(ctx context.Context) error {
	_, err := prover.NewFixture(ctx, m.site, prover.Setup{
		Models: []string{"ledger"},
		Rate:   1000,
		Burst:  1000,
	})
	if err != nil {
		return err
	}
	for _, instance := range m.site.Instances {
		client, err := m.site.Operator(instance)
		if err != nil {
			return err
		}
		m.clients = append(m.clients, client)
	}
	return nil
}

// measureIdle measures the cost of the control plane without requests and acts.
func (m *measurement) measureIdle(ctx context.Context) error {
	if !waiter.Pause(ctx, settleTime) {
		return ctx.Err()
	}
	before, err := m.observe(ctx)
	if err != nil {
		return err
	}
	if !waiter.Pause(ctx, m.config.Idle) {
		return ctx.Err()
	}
	after, err := m.observe(ctx)
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(len(m.site.Instances))
	_, err = fmt.Fprintf(m.out,
		"idle instances=%.0f seconds=%.0f core_percent_node=%.2f resident_mb_node=%.1f sent_kb_second_node=%.2f received_kb_second_node=%.2f store_reads_second=%.1f store_writes_second=%.1f\n",
		count, seconds,
		100*(after.cpu-before.cpu).Seconds()/seconds/count,
		float64(after.resident)/count/(1<<20),
		(after.sent-before.sent)/seconds/count/1024,
		(after.received-before.received)/seconds/count/1024,
		float64(after.reads-before.reads)/seconds,
		float64(after.writes-before.writes)/seconds)
	return err
}

// measureActs measures the time from an operator's call until its answer, which
// usually comes when the act is in force at all members. It counts the acts that
// were answered earlier as partial.
func (m *measurement) measureActs(ctx context.Context) error {
	histogram := hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
	partial := 0
	for n := range m.config.Acts {
		began := time.Now()
		receipt, err := m.clients[n%len(m.clients)].Act(ctx, fmt.Sprintf("act-%d", n), configurator.Operation{
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
	return m.writeLatencies("acts", "up", histogram, partial)
}

// measureWithdrawals measures withdrawals in the same way, while the store is unreachable.
func (m *measurement) measureWithdrawals(ctx context.Context) error {
	keys := make([]configurator.Operation, m.config.Withdrawals)
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
	if _, err := m.clients[0].Act(ctx, "keys", keys...); err != nil {
		return err
	}
	if err := m.site.SetFaults(ctx, platformer.Faults{
		Outage: platformer.OutageHang,
	}); err != nil {
		return err
	}
	histogram := hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
	partial := 0
	for n := range keys {
		began := time.Now()
		receipt, err := m.clients[n%len(m.clients)].Withdraw(ctx, false, configurator.Withdrawal{
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
	return m.writeLatencies("withdrawals", "out", histogram, partial)
}

func (m *measurement) writeLatencies(operations, store string, histogram *hdrhistogram.Histogram, partial int) error {
	_, err := fmt.Fprintf(m.out, "%s instances=%d store=%s count=%d partial=%d p50_ms=%.1f p99_ms=%.1f max_ms=%.1f\n",
		operations, len(m.site.Instances), store, histogram.TotalCount(), partial,
		milliseconds(histogram.ValueAtQuantile(50)),
		milliseconds(histogram.ValueAtQuantile(99)),
		milliseconds(histogram.Max()))
	return err
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
