package quarantiner

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/quarantiner/quarantinerpb"
)

// FuzzMessages checks that no message of a peer makes an instance fail, keep more than it may, or refuse prompts for longer
// than the longest term.
func FuzzMessages(f *testing.F) {
	for _, age := range []int64{0, -1, 1, math.MaxInt64, math.MinInt64} {
		encoded, err := proto.Marshal(&quarantinerpb.Suspects{
			Suspects: []*quarantinerpb.Suspect{
				{Part: 1, Crashes: []*quarantinerpb.Crash{{Engine: 1, Age: age}}, Common: []uint64{1, 2}, Sound: true, SoundAge: age, Left: age, Term: age},
				{Part: 2, Left: int64(time.Hour), Term: int64(time.Hour)},
			},
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		q := New(Config{
			Now: func() time.Time { return now },
		})
		for range 2 * maxSuspects {
			q.HandleAttachment(messenger.Peer{}, data)
		}
		q.evaluate()
		if q.count.Load() > maxSuspects {
			t.Fatalf("%d suspects", q.count.Load())
		}
		for part, s := range q.suspects {
			until, held := q.Quarantined(Request{Parts: append([]uint64{part}, s.common...), Whole: part})
			if held && until.Sub(now) > maxTerm {
				t.Fatalf("refused for %s", until.Sub(now))
			}
		}
		_ = q.Attachment()
		_ = q.Dump()
	})
}
