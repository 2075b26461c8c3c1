package membermeter

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

func TestFleetCountsTraffic(t *testing.T) {
	is := is.New(t)
	f, err := newFleet(context.Background(), fleetShape{
		domains:    2,
		members:    2,
		neighbours: 8,
	})
	is.NoErr(err)
	defer f.stop()
	for f.traffic().messages < 40 {
		waiter.Pause(context.Background(), dutiesTime/30)
	}
	sum := f.traffic()
	is.True(sum.bytes > 40*headerBytes)
	is.True(sum.listReads >= 4)
}
