package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/internal/verifier/seeder"
)

// prewarmAll decides as if all models of the simulation were predicted all day. They need
// more memory than the engines have.
func prewarmAll(state State) Plan {
	state.Prewarm = map[string]bool{}
	for i := range modelCount {
		state.Prewarm[fmt.Sprintf("m%d", i)] = true
	}
	return Decide(state)
}

// TestPrewarmingKeepsInvariants checks that requests are served and no limit is exceeded,
// however much is loaded ahead of demand.
func TestPrewarmingKeepsInvariants(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeder.Seeds(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, served := runHistoryWithPlanner(t, uint64(seed), disabledProtections{}, prewarmAll)
			if result.total() > 0 {
				t.Errorf("violations: %v, first of each: %v", result.violations, result.first)
			}
			if served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

func TestPrewarmedModelIsLoadedAndKept(t *testing.T) {
	is := is.New(t)
	state := testState()
	state.Prewarm = map[string]bool{
		"m0": true,
	}
	is.Equal(loadedBy(Decide(state)), []string{"m0:v1"})
	state = testState(readyCopyOf("m0:v1", 6))
	state.Idle = time.Second
	is.Equal(len(Decide(state).Unloads), 1)
	state.Prewarm = map[string]bool{
		"m0": true,
	}
	is.Equal(len(Decide(state).Unloads), 0)
	is.Equal(len(Decide(state).Loads), 0)
}

func TestPrewarmingWaitsBehindRequests(t *testing.T) {
	is := is.New(t)
	state := testState()
	state.Slots = 1
	state.Prewarm = map[string]bool{
		"m0": true,
		"m1": true,
	}
	overnight := waitingFor("m2", "", "team", planTime)
	overnight.Interactive = false
	state.Wants = []Want{
		overnight,
	}
	is.Equal(loadedBy(Decide(state)), []string{"m2:v1"})
}

// TestPrewarmedModelsDoNotEvictEachOther checks that a model that is worth prewarming is
// evicted only for waiting requests.
func TestPrewarmedModelsDoNotEvictEachOther(t *testing.T) {
	is := is.New(t)
	state := testState(readyCopyOf("m5:v1", 16), readyCopyOf("m4:v1", 14))
	state.Prewarm = map[string]bool{
		"m3": true,
		"m4": true,
		"m5": true,
	}
	is.Equal(len(Decide(state).Unloads), 0)
	state.Wants = []Want{
		waitingFor("m3", "", "team", planTime),
	}
	is.Equal(len(Decide(state).Unloads), 1)
}

// loadedBy returns the checkpoints that a plan loads.
func loadedBy(plan Plan) []string {
	var checkpoints []string
	for _, load := range plan.Loads {
		checkpoints = append(checkpoints, load.Version.Checkpoint)
	}
	return checkpoints
}

func TestRecurrenceCountsRequestedDaysByMinute(t *testing.T) {
	is := is.New(t)
	nine := time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)
	r := NewRecurrence()
	for day := range 4 {
		is.Equal(r.probability("m", nine.AddDate(0, 0, day)) > 0, day >= minRecurrenceDays)
		r.StartMinute(nine.AddDate(0, 0, day).Add(-time.Second))
		r.Observe("m", nine.AddDate(0, 0, day).Add(10*time.Second))
		r.StartMinute(nine.AddDate(0, 0, day).Add(20 * time.Second))
		r.StartMinute(nine.AddDate(0, 0, day).Add(time.Minute))
	}
	fifth := nine.AddDate(0, 0, 4)
	is.Equal(r.probability("m", fifth), 1.0)
	is.Equal(r.probability("m", fifth.Add(time.Minute)), 0.0)
	is.Equal(r.probability("other", fifth), 0.0)
	r.StartMinute(fifth)
	is.Equal(r.probability("m", fifth), 1.0)
	is.Equal(r.probability("m", fifth.AddDate(0, 0, 1)), 0.8)
	for day := 5; day < 14; day++ {
		r.StartMinute(nine.AddDate(0, 0, day))
	}
	is.Equal(r.probability("m", nine.AddDate(0, 0, 14)), 0.0)
}

func TestRecurrenceIsDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)
	r := NewRecurrence()
	r.StartMinute(at)
	r.Observe("m", at)
	packed, err := r.Encode()
	is.NoErr(err)
	decoded, err := DecodeRecurrence(packed)
	is.NoErr(err)
	is.Equal(decoded, r)
	for _, wrong := range [][]byte{nil, []byte("x"), packed[:len(packed)/2]} {
		_, err = DecodeRecurrence(wrong)
		is.True(err != nil)
		is.True(err.Error() != "")
	}
	r.Days = nil
	packed, err = r.Encode()
	is.NoErr(err)
	_, err = DecodeRecurrence(packed)
	is.True(err != nil)
}

func TestRareRequestsAreNotWorthPrewarming(t *testing.T) {
	is := is.New(t)
	is.True(worthPrewarming(1, 2*time.Minute))
	is.Equal(worthPrewarming(1, 30*time.Second), false)
	is.Equal(worthPrewarming(0.2, 2*time.Minute), false)
}

// TestNextHolderContinuesRecurrence checks that each holder continues with the recurrence
// that the previous one stored.
func TestNextHolderContinuesRecurrence(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)
	store := newFakeStore().bind(func() {})
	config := &Config{
		Store: store,
		Now:   func() time.Time { return now },
	}
	config.Settings.Prewarm = true
	for range 4 {
		recurrences := newRecurrenceStore(config, dutyName(0))
		recurrences.sync(t.Context())
		recurrences.observe(now, []Want{
			{
				Key: Key{
					Model: "m0",
				},
				Used: now,
			},
		})
		now = now.Add(recurrenceInterval)
		recurrences.sync(t.Context())
		now = now.Add(24*time.Hour - recurrenceInterval)
	}
	state := testState()
	state.Now = now
	recurrences := newRecurrenceStore(config, dutyName(0))
	recurrences.sync(t.Context())
	is.Equal(recurrences.recurrence.probability("m0", now), 1.0)
	state.Idle = 24 * time.Hour
	is.Equal(recurrences.prewarmModels(&state), map[string]bool{
		"m0": true,
	})
	config.Settings.Prewarm = false
	disabled := newRecurrenceStore(config, dutyName(0))
	disabled.sync(t.Context())
	is.Equal(len(disabled.prewarmModels(&state)), 0)
}

// TestLoadingCopyPreventsPrewarming checks that a copy that is still loading prevents another
// load ahead of demand.
func TestLoadingCopyPreventsPrewarming(t *testing.T) {
	is := is.New(t)
	loading := readyCopyOf("m0:v1", 6)
	loading.State = reporter.CopyLoading
	state := testState(loading)
	state.Prewarm = map[string]bool{
		"m0": true,
	}
	is.Equal(len(Decide(state).Loads), 0)
}

// storeValueLimit is the maximum size of a value in the platform's store, in bytes.
const storeValueLimit = 1_000_000

// TestRecurrenceFitsInStoreValue checks that the recurrence of the target number of models fits
// into one value even if requests follow no pattern and compress badly.
func TestRecurrenceFitsInStoreValue(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	r := NewRecurrence()
	for model := range 330 {
		days := make([]byte, dayMinutes)
		for minute := range days {
			days[minute] = byte(random.Uint32())
		}
		r.Models[fmt.Sprintf("model%d", model)] = days
	}
	packed, err := r.Encode()
	is.NoErr(err)
	t.Log(len(packed))
	is.True(len(packed) < storeValueLimit)
}

// BenchmarkPrewarmModels measures the search for models to prewarm at the target number of
// models.
func BenchmarkPrewarmModels(b *testing.B) {
	recurrences := newRecurrenceStore(&Config{}, dutyName(0))
	recurrences.recurrence = NewRecurrence()
	state := testState()
	for model := range 330 {
		recurrences.recurrence.Models[fmt.Sprintf("m%d", model)] = make([]byte, dayMinutes)
	}
	for range recurrenceDays {
		recurrences.recurrence.Minute = 0
		recurrences.recurrence.StartMinute(state.Now)
		for name := range recurrences.recurrence.Models {
			recurrences.recurrence.Observe(name, state.Now)
		}
	}
	for b.Loop() {
		recurrences.prewarmModels(&state)
	}
}
