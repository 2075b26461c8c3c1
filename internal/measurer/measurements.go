package measurer

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/measurer/admissionmeter"
	"github.com/buckthorngap/buckthorngap/internal/measurer/coldstarter"
	"github.com/buckthorngap/buckthorngap/internal/measurer/membermeter"
	"github.com/buckthorngap/buckthorngap/internal/measurer/operationmeter"
	"github.com/buckthorngap/buckthorngap/internal/measurer/sharemeter"
	"github.com/buckthorngap/buckthorngap/internal/measurer/spreadmeter"
	"github.com/buckthorngap/buckthorngap/internal/parser"
)

// measurement produces one part of the page.
type measurement struct {
	name  string
	title string
	run   func(ctx context.Context, out io.Writer, short bool) error
	// inShortRun is set if a short run includes the measurement, in its short form.
	inShortRun bool
	// shortByDefault is set if a run of all measurements uses the short form of this one.
	shortByDefault bool
	// onlyIfNamed is set if the measurement runs only when --only names it.
	onlyIfNamed bool
}

// fullIdle is the time for which an idle site of processes is observed.
const fullIdle = 12 * time.Second

// shortIdle is the time for which an idle site of processes is observed in a short run, and an idle
// fleet within this process in every run.
const shortIdle = 5 * time.Second

const (
	// spreadActs is the number of acts at each number of instances in the measurement "spreading".
	spreadActs = 50
	// shortWithdrawals is the number of withdrawals in a short run.
	shortWithdrawals = 8
)

// shortLoadTime is the time for which a short run sends requests.
const shortLoadTime = 4 * time.Second

// measurements returns all measurements, in their order on the page.
func measurements() []measurement {
	return []measurement{
		{
			name:       "coldstart",
			title:      "Tail cold-start time and idle accelerator hours, both users' sizes, calm and with faults, beside baselines",
			run:        coldstarter.Run,
			inShortRun: true,
		},
		{
			name:       "sharing",
			title:      "Refusals inside the rate and the worst-served team, 7 instances as processes, calm and with faults",
			run:        measureSharing,
			inShortRun: true,
		},
		{
			name:  "operating",
			title: "Acts, withdrawals and control, 7 instances as processes",
			run:   measureOperating,
		},
		{
			name:       "admitting",
			title:      "Refusals inside the rate and the worst-served team beside baselines, 7 instances in one process, calm and with faults",
			run:        admissionmeter.Run,
			inShortRun: true,
		},
		{
			name:  "spreading",
			title: "Configuration by instances and adapters",
			run:   measureSpreading,
		},
		{
			name:  "membership",
			title: "Membership by members",
			run:   measureMembership,
		},
		{
			name:        "duties",
			title:       "Duties by their number, only with --only",
			run:         measureDuties,
			onlyIfNamed: true,
		},
		{
			name:  "placement",
			title: "Placement decisions by engines, models and adapters",
			run:   measurePlacement,
		},
		{
			name:           "prewarming",
			title:          "Loading ahead of what recurs in the day, both users' sizes, beside the product without it",
			run:            coldstarter.Prewarms,
			shortByDefault: true,
		},
		{
			name:           "worstseeds",
			title:          "Tail cold-start time beside its bound, both users' sizes, of many seeds and the worst",
			run:            coldstarter.WorstSeeds,
			shortByDefault: true,
		},
		{
			name:  "moving",
			title: "What moving KV cache between engines could gain, both users' sizes, and its break-even",
			run:   measureMoving,
		},
	}
}

// measurementNames returns the names of all measurements, in their order on the page.
func measurementNames() []string {
	var all []string
	for _, listed := range measurements() {
		all = append(all, listed.name)
	}
	return all
}

func measureOperating(ctx context.Context, out io.Writer, short bool) error {
	return inDirectory(func(directory string) error {
		config := operationmeter.Config{
			Directory: directory,
			Source:    ".",
			Idle:      fullIdle,
		}
		if short {
			config.Idle = shortIdle
			config.Withdrawals = shortWithdrawals
		}
		return operationmeter.Run(ctx, config, out)
	})
}

func measureSharing(ctx context.Context, out io.Writer, short bool) error {
	return inDirectory(func(directory string) error {
		config := sharemeter.Config{
			Directory: directory,
			Source:    ".",
		}
		// The measurement "admitting" compares with the other modes as baselines.
		config.Modes = []string{parser.LimitLoans}
		if short {
			config.Span = shortLoadTime
			config.SkipFaults = true
		}
		return sharemeter.Run(ctx, config, out)
	})
}

// inDirectory runs a measurement with a temporary directory, which it removes afterwards.
func inDirectory(run func(directory string) error) error {
	directory, err := os.MkdirTemp("", "buckthorngap-measure")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	return run(directory)
}

func measureSpreading(ctx context.Context, out io.Writer, _ bool) error {
	return spreadmeter.Run(ctx, spreadmeter.Config{
		Idle: shortIdle,
		Acts: spreadActs,
	}, out)
}

func measureMembership(ctx context.Context, out io.Writer, _ bool) error {
	return membermeter.Run(ctx, out)
}

func measureDuties(ctx context.Context, out io.Writer, _ bool) error {
	return membermeter.RunDuties(ctx, out)
}

func measurePlacement(_ context.Context, out io.Writer, _ bool) error {
	return coldstarter.Decisions(out)
}

func measureMoving(_ context.Context, out io.Writer, _ bool) error {
	return coldstarter.KVCacheMoves(out)
}
