package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// TestTrafficAndDeathsAtTargetSize guards against control traffic that exceeds its budget at the
// target size of 128 instances, and against deaths that become known late in some domain.
func TestTrafficAndDeathsAtTargetSize(t *testing.T) {
	if testing.Short() {
		t.Skip("128 instances")
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, 32)
		f.neighbours = 4
		f.startAll()
		defer f.stop()
		time.Sleep(40 * time.Second)
		f.withLock(func() { f.messages, f.bytes, f.reads = 0, 0, 0 })
		time.Sleep(10 * time.Second)
		f.withLock(func() {
			perNode := func(n int) float64 { return float64(n) / 10 / 128 }
			t.Logf("a node: %.1f messages/s, %.0f payload bytes/s; %.1f list readings/s in all",
				perNode(f.messages), perNode(f.bytes), float64(f.reads)/10)
			is.True(perNode(f.messages) < 16<<10/420) // exchanges of 420 bytes on the wire, limited to 16 KB
			is.True(perNode(f.bytes) < 4<<10)         // the payload's part of the 16 KB
			is.True(float64(f.reads)/10 <= 10)        // of the 2,000 that the platform allows
		})
		f.kill("b7")
		time.Sleep(18 * time.Second)
		missing := 0
		for name := range f.trackers {
			if name != "b7" && f.state(name, "b7") != tracker.Dead {
				missing++
			}
		}
		is.Equal(missing, 0) // all instances of all domains see it as dead
	})
}
