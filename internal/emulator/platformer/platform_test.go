package platformer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// newPlatformAndStore returns a platform and a store that calls it within this process, without retries.
func newPlatformAndStore(config platformer.Config) (*platformer.Platform, *storer.Store) {
	platform := platformer.New(config)
	return platform, binder.New(binder.Config{
		URL:      "http://platform",
		Client:   platform.Client(),
		Attempts: 1,
	})
}

func TestListOfInstancesLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform, store := newPlatformAndStore(platformer.Config{
			ListLag: time.Second,
		})
		platform.Put(storer.Instance{
			Name: "a1",
		})
		rows, err := store.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(rows), 0)
		time.Sleep(time.Second)
		rows, err = store.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(rows), 1)
		platform.SetFaults(platformer.Faults{
			StaleInstances: true,
		})
		platform.Remove("a1")
		time.Sleep(time.Minute)
		rows, _ = store.Instances(t.Context())
		is.Equal(len(rows), 1)
		platform.SetFaults(platformer.Faults{})
		rows, _ = store.Instances(t.Context())
		is.Equal(len(rows), 0)
	})
}

func TestLapsedLeaseDeletesItsEntriesAndWakesWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform, store := newPlatformAndStore(platformer.Config{})
		lease, err := store.Grant(t.Context(), time.Second)
		is.NoErr(err)
		entry, err := store.Swap(t.Context(), storer.Swap{
			Key:   "duty/1",
			Value: []byte("mine"),
			Lease: lease.ID,
		})
		is.NoErr(err)
		before := platform.Counts()
		began := time.Now()
		changes, err := store.Watch(t.Context(), "duty/", entry.Revision)
		is.NoErr(err)
		is.Equal(changes.Deleted, []string{"duty/1"})
		is.True(time.Since(began) >= time.Second-time.Millisecond)
		is.Equal(platform.Counts().Reads, before.Reads+1) // a watch counts as one call, however long it waits
		_, err = store.Renew(t.Context(), lease.ID)
		var lapsed *storer.Lapsed
		is.True(errors.As(err, &lapsed))
	})
}

func TestRestoreBringsOlderStateBack(t *testing.T) {
	is := is.New(t)
	platform, store := newPlatformAndStore(platformer.Config{})
	first, err := store.Swap(t.Context(), storer.Swap{
		Key: "a",
	})
	is.NoErr(err)
	platform.Save()
	second, err := store.Swap(t.Context(), storer.Swap{
		Key:      "a",
		Expected: first.Revision,
	})
	is.NoErr(err)
	platform.Restore()
	found, err := store.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(found.Revision, first.Revision)
	changes, err := store.Watch(t.Context(), "a", second.Revision)
	is.NoErr(err)
	is.True(changes.Revision < second.Revision) // the watch answers at once
}

func TestHangingCallEndsWhenItsCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform, store := newPlatformAndStore(platformer.Config{})
		platform.SetFaults(platformer.Faults{
			Outage: platformer.OutageHang,
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := store.Get(ctx, "a")
		var unavailable *storer.Unavailable
		is.True(errors.As(err, &unavailable))
		is.Equal(platform.Counts().Refused, int64(1))
	})
}

func TestRateLimitsRefuse(t *testing.T) {
	is := is.New(t)
	platform, store := newPlatformAndStore(platformer.Config{
		WritesPerSecond: 1,
	})
	_, err := store.Swap(t.Context(), storer.Swap{
		Key: "a",
	})
	is.NoErr(err)
	_, err = store.Swap(t.Context(), storer.Swap{
		Key: "b",
	})
	var unavailable *storer.Unavailable
	is.True(errors.As(err, &unavailable))
	is.Equal(platform.Counts().Refused, int64(1))
}
