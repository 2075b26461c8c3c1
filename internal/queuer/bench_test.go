package queuer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkEnter measures the entry of one request and the placement of another, by the number of waiting
// requests and teams.
func BenchmarkEnter(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		for _, teams := range []int{5, 50} {
			b.Run(fmt.Sprint("waiting=", waiting, "/teams=", teams), func(b *testing.B) {
				capacity := 0
				q := New(Config{
					Pick: func(*Ticket) (any, bool) {
						if capacity == 0 {
							return nil, false
						}
						capacity--
						return nil, true
					},
					MaxWaiting: waiting + 1,
				})
				mq := q.queue("m")
				now := time.Now()
				enter := func(i int) {
					w := newWaiter(Ticket{
						Team:     fmt.Sprint("team-", i%teams),
						Model:    "m",
						Tokens:   10,
						Deadline: now.Add(time.Hour + time.Duration(i%977)*time.Second),
					}, now)
					if refusal := mq.enter(now, w); refusal != nil {
						b.Fatal(refusal)
					}
				}
				for i := range waiting {
					enter(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					enter(i)
					capacity = 1
					mq.dispatch(now)
				}
			})
		}
	}
}
