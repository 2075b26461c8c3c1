package pacer

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/pacer/pacerpb"
)

// FuzzMessages checks that no message of a peer makes a holder fail or grant more permits than one answer may hold.
func FuzzMessages(f *testing.F) {
	for _, rate := range []float64{0, 1e-300, 1, 1e300, -1, math.NaN(), math.Inf(1)} {
		encoded, err := proto.Marshal(&pacerpb.Ask{
			Limit: &pacerpb.Limit{
				Upstream: "u",
				Rate:     rate,
				Age:      math.MaxInt64,
			},
			Count: math.MaxUint32,
			Duty:  math.MaxUint32,
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		p := New(Config{
			Duties: []string{testDuty},
			Term: func(string) (holder.Fence, bool) {
				return holder.Fence{
					Check: func() error { return nil },
				}, true
			},
			Now: func() time.Time { return now },
		})
		p.HandleAttachment(messenger.Peer{}, data)
		for range 3 {
			now = now.Add(time.Second)
			answer, err := p.handleAsk(context.Background(), messenger.Sender{}, data)
			if err != nil {
				return
			}
			grant := &pacerpb.Grant{}
			if err := proto.Unmarshal(answer, grant); err != nil {
				t.Fatal(err)
			}
			if grant.GetCount() > maxBatch || grant.GetWait() < 0 {
				t.Fatalf("granted %d, wait %d", grant.GetCount(), grant.GetWait())
			}
		}
	})
}
