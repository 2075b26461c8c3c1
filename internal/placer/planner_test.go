package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/orderer"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

var planTime = time.Unix(1000, 0)

// testState returns a state with one engine of 30 bytes that has the given copies, and with
// slots for all loads.
func testState(copies ...reporter.Copy) State {
	report := reporter.Report{
		At:     planTime,
		Bytes:  30,
		Slots:  4,
		Copies: copies,
	}
	for _, loaded := range copies {
		report.Used += loaded.Bytes
	}
	return State{
		Now: planTime,
		Engines: []Engine{
			{
				Name:     "e",
				Bytes:    30,
				Report:   report,
				Reported: true,
			},
		},
		Ledger:       &Ledger{},
		Catalog:      fakeCatalog(nil, nil),
		Replicas:     func(model configurator.Model) int { return model.Replicas },
		Slots:        8,
		AdapterLoads: 2,
		Idle:         time.Hour,
		Policy:       parser.EvictAge,
		ClaimedAt:    planTime.Add(-time.Minute),
	}
}

func readyCopyOf(checkpoint string, bytes int64, adapters ...string) reporter.Copy {
	return reporter.Copy{
		Checkpoint: checkpoint,
		Bytes:      bytes,
		State:      reporter.CopyReady,
		Adapters:   adapters,
	}
}

func waitingFor(model, adapter, team string, since time.Time) Want {
	return Want{
		Key: Key{
			Model:   model,
			Adapter: adapter,
		},
		Waiting:     1,
		Recent:      1,
		Used:        since,
		Since:       since,
		Earliest:    since.Add(time.Minute),
		Latest:      since.Add(time.Minute),
		Interactive: true,
		Team:        team,
	}
}

func TestLeavingEnginesGetNoLoads(t *testing.T) {
	is := is.New(t)
	state := testState()
	state.Wants = []Want{waitingFor("m1", "", "a", planTime)}
	is.Equal(len(Decide(state).Loads), 1)
	state.Engines[0].Leaving = true
	is.Equal(len(Decide(state).Loads), 0)
	state.Engines[0].Leaving = false
	state.Engines[0].Report.Leaving = true
	is.Equal(len(Decide(state).Loads), 0)
}

func TestNewVersionLoadsBesideTheOldOneIfMemoryPermits(t *testing.T) {
	is := is.New(t)
	for bytes, beside := range map[int64]bool{
		20: true,
		25: false,
	} {
		state := testState(readyCopyOf("m1:v1", bytes))
		state.Catalog = fakeCatalog(map[string]string{
			"m1": "v2",
		}, nil)
		state.Wants = []Want{waitingFor("m1", "", "a", planTime)}
		plan := Decide(state)
		is.Equal(len(plan.Loads) == 1 && plan.Loads[0].Extra, beside)
		is.Equal(len(plan.Unloads) == 1, !beside)
	}
}

// TestUnloadingCopiesCountAgainstReplicas requests a version whose only copy is being
// unloaded while another engine is empty. Until the copy is gone, a new one would exceed the
// replicas.
func TestUnloadingCopiesCountAgainstReplicas(t *testing.T) {
	is := is.New(t)
	unloading := readyCopyOf("m1:v1", 10)
	unloading.State = reporter.CopyUnloading
	state := testState(unloading)
	empty := state.Engines[0]
	empty.Name = "f"
	empty.Report.Copies = nil
	empty.Report.Used = 0
	state.Engines = append(state.Engines, empty)
	state.Wants = []Want{waitingFor("m1", "", "t", planTime)}
	is.Equal(len(Decide(state).Loads), 0)
	state.Engines[0].Report.Copies = nil
	state.Engines[0].Report.Used = 0
	is.Equal(len(Decide(state).Loads), 1)
}

func TestWithdrawnVersionsAreUnloaded(t *testing.T) {
	is := is.New(t)
	state := testState(readyCopyOf("m1:v1", 8), readyCopyOf("m2:v1", 10))
	is.Equal(len(Decide(state).Unloads), 0)
	state.Catalog = fakeCatalog(nil, map[string]bool{
		"m1:v1": true,
	})
	plan := Decide(state)
	is.Equal(len(plan.Unloads), 1)
	is.Equal(plan.Unloads[0].Checkpoint, "m1:v1")
}

func TestBusyCopiesAreNotEvicted(t *testing.T) {
	is := is.New(t)
	idle, busy := readyCopyOf("m2:v1", 10), readyCopyOf("m3:v1", 12)
	busy.Running = 1
	state := testState(idle, busy)
	state.Wants = []Want{waitingFor("m4", "", "a", planTime)}
	plan := Decide(state)
	is.Equal(len(plan.Unloads), 1)
	is.Equal(plan.Unloads[0].Checkpoint, "m2:v1")
	is.Equal(len(plan.Loads), 0)
	state.Wants = []Want{waitingFor("m7", "", "a", planTime)}
	is.Equal(len(Decide(state).Unloads), 0)
}

func TestTeamWithLowLoadCostsGoesFirst(t *testing.T) {
	is := is.New(t)
	state := testState()
	state.Wants = []Want{
		waitingFor("m6", "", "greedy", planTime.Add(-time.Second)),
		waitingFor("m7", "", "modest", planTime),
	}
	is.Equal(Decide(state).Loads[0].Version.Model, "m6")
	state.TeamCosts = map[string]float64{
		"greedy": 20,
	}
	is.Equal(Decide(state).Loads[0].Version.Model, "m7")
}

// adapterState returns a state with a copy of m1 whose pool has ten bytes, and adapters of
// four bytes.
func adapterState(loaded ...string) State {
	state := testState(readyCopyOf("m1:v1", 18, loaded...))
	model := state.Catalog.Model
	state.Catalog.Model = func(name string) (configurator.Model, bool) {
		m, ok := model(name)
		m.AdapterBytes = 10
		return m, ok
	}
	state.Catalog.Adapter = func(name string) (configurator.Adapter, bool) {
		return configurator.Adapter{
			Name:  name,
			Model: "m1",
			Bytes: 4,
		}, true
	}
	return state
}

func TestAdapterLoadsStayWithinPoolAndLimit(t *testing.T) {
	is := is.New(t)
	state := adapterState()
	for _, name := range []string{"a1", "a2", "a3"} {
		state.Wants = append(state.Wants, waitingFor("m1", name, "a", planTime))
	}
	is.Equal(len(Decide(state).Adapters), 2)
	state.AdapterLoads = 1
	is.Equal(len(Decide(state).Adapters), 1)
	state.AdapterLoads = 9
	is.Equal(len(Decide(state).Adapters), 2)
	state.AdapterOrders = []AdapterOrder{
		{
			Kind:       orderer.LoadAdapter,
			Engine:     "e",
			Checkpoint: "m1:v1",
			Adapter:    "a9",
			Bytes:      4,
		},
	}
	is.Equal(len(Decide(state).Adapters), 1)
}

func TestLeastRecentlyUsedAdapterIsUnloaded(t *testing.T) {
	is := is.New(t)
	state := adapterState("old", "new")
	used := waitingFor("m1", "new", "a", planTime.Add(-10*time.Second))
	used.clearWaiting()
	state.Wants = []Want{used, waitingFor("m1", "next", "a", planTime)}
	orders := Decide(state).Adapters
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, orderer.UnloadAdapter)
	is.Equal(orders[0].Adapter, "old")
	state.AdapterOrders = orders
	is.Equal(len(Decide(state).Adapters), 0)
}
