package stager

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// TestCopyIsNotCountedFromTheStartOfItsRemoval guards against swaps that begin at the same time and each take the other copies
// of a model for those that stay: entries show a copy until it is gone.
func TestCopyIsNotCountedFromTheStartOfItsRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, "m0", "m2")
		f.refreshViews(context.Background())
		for range 100 {
			f.AddDemand("m1", "", 1000)
			f.AddDemand("m2", "", 1000)
		}
		is.Equal(f.countCopies()["m0"], 1)
		load := func() error {
			_, _, err := f.loadModel(context.Background(), dutyName(0), f.term, "engines", "m1")
			return err
		}
		_ = load() // the load limiter starts without a token
		time.Sleep(time.Second)
		is.NoErr(load())
		is.Equal(f.countCopies()["m0"], 0)
		is.True(!f.isReportedLoaded("m0")) // no more requests are sent there
		time.Sleep(swapTimeout)

		peer := newFixture(t, "m0")
		peer.HandleAttachment(messenger.Peer{}, f.demand.encode())
		is.Equal(peer.countCopies()["m0"], 1) // that was long ago
		f.recordChange("e", "m0", false)
		peer.HandleAttachment(messenger.Peer{}, f.demand.encode())
		is.Equal(peer.countCopies()["m0"], 0)
		f.recordChange("e", "m0", true)
		peer.HandleAttachment(messenger.Peer{}, f.demand.encode())
		is.Equal(peer.countCopies()["m0"], 1)
		f.recordChange("e", "m0", false)
		time.Sleep(reportLag + time.Second)
		is.Equal(peer.countCopies()["m0"], 1) // its entry still shows it
	})
}
