package coldstarter

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/placer"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// The target sizes of the full fleet. Decisions are measured at fractions of one of
// them, while the others stay at the target.
const (
	targetEngines  = 730
	targetModels   = 330
	targetAdapters = 40_000
	// decisionRounds is the number of decisions over which time and memory are averaged.
	decisionRounds = 20
)

// Decisions writes the time and the allocated memory of one placement decision, by
// the number of engines and of demanded models and adapters.
func Decisions(out io.Writer) error {
	for _, share := range []int{8, 4, 2, 1} {
		for _, size := range [][3]int{
			{targetEngines / share, targetModels, 0},
			{targetEngines, targetModels / share, 0},
			{targetEngines, targetModels, targetAdapters / share},
		} {
			if err := measureDecisions(out, size[0], size[1], size[2]); err != nil {
				return err
			}
		}
	}
	return measureDecisions(out, targetEngines/4, targetModels, targetAdapters/10)
}

// measureDecisions measures the decisions for one size of the fleet.
func measureDecisions(out io.Writer, engines, models, adapters int) error {
	state := largeState(engines, models, adapters)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for range decisionRounds {
		placer.Decide(state)
	}
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	_, err := fmt.Fprintf(out, "engines=%d models=%d adapters=%d decision=%.3fms allocated=%.1fkB\n",
		engines, models, adapters,
		elapsed.Seconds()*1000/decisionRounds,
		float64(after.TotalAlloc-before.TotalAlloc)/decisionRounds/1000)
	return err
}

// largeState returns a state of engines with two copies each, and with demand
// for all models and for some adapters; for a tenth of the models, requests wait
// for a copy.
func largeState(engines, models, adapters int) placer.State {
	site := Site{
		Models: models,
		Seed:   1,
	}
	catalog := site.catalog()
	catalog.Adapter = func(name string) (configurator.Adapter, bool) {
		return configurator.Adapter{
			Name:  name,
			Model: modelName(0),
			Bytes: 1,
		}, true
	}
	state := placer.State{
		Now:          epoch,
		Ledger:       &placer.Ledger{},
		Catalog:      catalog,
		Replicas:     func(configurator.Model) int { return 4 },
		Slots:        1,
		AdapterLoads: 7,
		Idle:         time.Hour,
		Policy:       parser.EvictCost,
		ClaimedAt:    epoch,
	}
	for i := range engines {
		state.Engines = append(state.Engines, largeEngine(i, models))
	}
	for i := range models {
		want := placer.Want{
			Recent: 1,
			Used:   epoch,
		}
		want.Key.Model = modelName(i)
		if i%10 == 0 {
			want.Waiting = 1
			want.Since = epoch
			want.Latest = epoch.Add(time.Minute)
		}
		state.Wants = append(state.Wants, want)
	}
	for i := range adapters {
		want := placer.Want{
			Recent: 1,
			Used:   epoch,
		}
		want.Key.Model = modelName(i % models)
		want.Key.Adapter = fmt.Sprintf("a%05d", i)
		state.Wants = append(state.Wants, want)
	}
	return state
}

// largeEngine returns an engine with two ready copies.
func largeEngine(index, models int) placer.Engine {
	report := reporter.Report{
		At:     epoch,
		Bytes:  engineBytes,
		Slots:  16,
		Cached: map[string]reporter.Place{},
	}
	for i := range 2 {
		report.Copies = append(report.Copies, reporter.Copy{
			Checkpoint: modelName((index*2 + i) % models),
			Bytes:      20 * gigabyte,
			State:      reporter.CopyReady,
			Running:    1,
		})
	}
	return placer.Engine{
		Name:     fmt.Sprintf("e%03d", index),
		Bytes:    engineBytes,
		Report:   report,
		Reported: true,
	}
}
