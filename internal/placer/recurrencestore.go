package placer

import (
	"context"
	"errors"
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

const (
	// recurrenceKeyPrefix is the prefix of the store keys of recurrences; the domain and
	// the duty follow.
	recurrenceKeyPrefix = "recurrence/"
	// recurrenceInterval is the time between writes of a recurrence.
	recurrenceInterval = 10 * time.Minute
	// recurrenceRetry is the time until the store is tried again after a failure.
	recurrenceRetry = time.Minute
	// prewarmLead is how long before a minute begins a model may be loaded for it.
	prewarmLead = 30 * time.Second
)

// recurrenceStore maintains a group's recurrence and keeps it in the store for later
// holders of the duty. Only prewarming depends on it.
type recurrenceStore struct {
	config *Config
	key    string
	// revision is the stored revision, which the next write expects.
	revision storer.Revision
	// recurrence is nil until it was read.
	recurrence *Recurrence
	// nextRead and nextSave are the times of the next attempts.
	nextRead time.Time
	nextSave time.Time
}

func newRecurrenceStore(config *Config, duty string) *recurrenceStore {
	return &recurrenceStore{
		config: config,
		key:    recurrenceKeyPrefix + config.Domain + "/" + duty,
	}
}

// reset discards the recurrence, because another holder may continue with the stored one.
func (r *recurrenceStore) reset() {
	r.recurrence = nil
	r.nextRead = time.Time{}
}

// sync reads the recurrence if it was not read yet, and writes it every recurrenceInterval.
func (r *recurrenceStore) sync(ctx context.Context) {
	now := r.config.Now()
	switch {
	case !r.config.Settings.Prewarm:
	case r.recurrence == nil && !now.Before(r.nextRead):
		r.nextRead = now.Add(recurrenceRetry)
		r.nextSave = now.Add(recurrenceInterval)
		r.read(ctx)
	case r.recurrence != nil && !now.Before(r.nextSave):
		r.nextSave = now.Add(recurrenceRetry)
		r.save(ctx, now)
	}
}

// read reads the stored recurrence. If it cannot be decoded, an empty one is used.
func (r *recurrenceStore) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.config.Store.Get(ctx, r.key)
	absent := (*storer.Absent)(nil)
	if err != nil && !errors.As(err, &absent) {
		return
	}
	r.revision = entry.Revision
	r.recurrence, err = DecodeRecurrence(entry.Value)
	if err != nil {
		r.recurrence = NewRecurrence()
	}
}

// save writes the recurrence. If another holder has written since, that recurrence is read
// next.
func (r *recurrenceStore) save(ctx context.Context, now time.Time) {
	value, err := r.recurrence.Encode()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.config.Store.Swap(ctx, storer.Swap{
		Key:      r.key,
		Value:    value,
		Expected: r.revision,
	})
	if conflict := (*storer.Conflict)(nil); errors.As(err, &conflict) {
		r.reset()
		return
	}
	if err == nil {
		r.revision = entry.Revision
		r.nextSave = now.Add(recurrenceInterval)
	}
}

// observe records which models are being requested.
func (r *recurrenceStore) observe(now time.Time, wants []Want) {
	if r.recurrence == nil {
		return
	}
	r.recurrence.StartMinute(now)
	for i := range wants {
		r.recurrence.Observe(wants[i].Key.Model, wants[i].Used)
	}
}

// prewarmModels returns the models that are worth loading for demand that usually occurs in
// the current minute or soon.
func (r *recurrenceStore) prewarmModels(state *State) map[string]bool {
	if r.recurrence == nil {
		return nil
	}
	models := map[string]bool{}
	for name := range r.recurrence.Models {
		probability := max(r.recurrence.probability(name, state.Now), r.recurrence.probability(name, state.Now.Add(prewarmLead)))
		if probability == 0 {
			continue
		}
		model, version, ok := state.Catalog.currentVersion(name)
		if ok && worthPrewarming(probability, state.coldStartCost(version.Bytes+model.AdapterBytes)) {
			models[name] = true
		}
	}
	return models
}

// worthPrewarming reports whether the cold start that is saved with some probability costs
// more than the copy that stays idle until the request, or until the end of the minute if
// none comes.
func worthPrewarming(probability float64, coldStartCost time.Duration) bool {
	idle := prewarmLead.Seconds() + probability*time.Minute.Seconds()/2 + (1-probability)*time.Minute.Seconds()
	return probability*coldStartCost.Seconds() > idle
}
