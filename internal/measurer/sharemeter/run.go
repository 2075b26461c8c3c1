// Package sharemeter measures, with real processes, how exactly teams' rates are
// enforced and how many requests inside them are refused, while instances are
// frozen and killed and a failure domain is partitioned.
package sharemeter

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/starter"
)

// Config configures a measurement.
type Config struct {
	// Directory holds the files of the processes.
	Directory string
	// Source is the module's root directory.
	Source string
	// Span is the time for which requests are sent in each mode; zero means 14 s.
	Span time.Duration
	// SkipFaults skips the measurements with faults.
	SkipFaults bool
	// Modes are the measured modes of dividing rates; if empty, the product's mode and both baselines.
	Modes []string
}

// The offered load.
const (
	// answerTokens is the length of each answer, in tokens.
	answerTokens = 10
	// teamBurst is each team's burst, in tokens.
	teamBurst = 1500
	// normalLoad and greedyLoad are the loads of teams, as multiples of their rates.
	normalLoad = 0.75
	greedyLoad = 5.0
	// homeShare is the probability with which a request goes to its team's home instance.
	homeShare = 0.5
)

// team is a team with its rate, in tokens per second, and its load, as a multiple of the rate.
type team struct {
	name string
	rate float64
	load float64
}

func teams() []team {
	list := []team{
		{
			name: "greedy",
			rate: 800,
			load: greedyLoad,
		},
	}
	for _, name := range []string{"kreti", "nadi", "suva", "lautoka"} {
		list = append(list, team{
			name: name,
			rate: 400,
			load: normalLoad,
		})
	}
	return list
}

func (c Config) withDefaults() Config {
	if c.Span == 0 {
		c.Span = 14 * time.Second
	}
	if len(c.Modes) == 0 {
		c.Modes = []string{parser.LimitLoans, parser.LimitEqual, parser.LimitHome}
	}
	return c
}

// Run measures each mode, without and with faults, and writes one line of
// key=value pairs for each measurement.
func Run(ctx context.Context, config Config, out io.Writer) error {
	config = config.withDefaults()
	for _, mode := range config.Modes {
		for _, faults := range []bool{false, true} {
			if faults && config.SkipFaults {
				continue
			}
			if err := measure(ctx, config, mode, faults, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// measure starts a site in one mode, offers the load and writes the result.
func measure(ctx context.Context, config Config, mode string, faults bool, out io.Writer) error {
	site, err := starter.Start(ctx, siteConfig(config, mode, faults))
	if err != nil {
		return err
	}
	defer site.Stop()
	fixture, err := prepare(ctx, site)
	if err != nil {
		return err
	}
	load := &load{
		fixture:  fixture,
		duration: config.Span,
	}
	if err := load.warmUp(ctx); err != nil {
		return err
	}
	if faults {
		go load.injectFaults(ctx)
	}
	results := load.offerAll(ctx)
	if err := load.readUsedTokens(ctx, results); err != nil {
		return err
	}
	return writeResult(out, mode, faults, results, load.elapsed)
}

func siteConfig(config Config, mode string, faults bool) starter.Config {
	return starter.Config{
		Directory: filepath.Join(config.Directory, fmt.Sprintf("%s-%t", mode, faults)),
		Source:    config.Source,
		Domains: []starter.Domain{
			domain("a", 3),
			domain("b", 2),
			domain("c", 2),
		},
		Engine:  []string{"--token=500us", "--first=2ms", "--slots=512"},
		Weights: []string{"--speed=80000000000"},
		Settings: func(settings *parser.Settings) {
			settings.Limits.Mode = mode
			// Eviction by cost keeps small models for only seconds, and would cause
			// cold starts within the measured time.
			settings.Loading.Policy = parser.EvictAge
		},
	}
}

func domain(name string, instances int) starter.Domain {
	return starter.Domain{
		Name:      name,
		Instances: instances,
		Engines:   1,
	}
}
