package limiter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/parser"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// BenchmarkReserve measures one admission from the local budget, by the number of teams.
func BenchmarkReserve(b *testing.B) {
	for _, count := range []int{5, 500, 50_000} {
		b.Run(fmt.Sprint("teams=", count), func(b *testing.B) {
			teams := map[string]configurator.Team{}
			names := make([]string, 0, count)
			for i := range count {
				name := fmt.Sprint("team-", i)
				names = append(names, name)
				teams[name] = configurator.Team{
					Name:  name,
					Rate:  1e12,
					Burst: 1e12,
				}
			}
			l := New(Config{
				Self: messenger.Sender{
					Name: "a",
				},
				Mode:    parser.LimitEqual,
				Domains: []string{"a"},
				Team: func(name string) (configurator.Team, bool) {
					team, ok := teams[name]
					return team, ok
				},
			})
			ctx := context.Background()
			for _, name := range names {
				_ = l.ReserveInto(ctx, &Reservation{}, Request{
					Team:   name,
					Tokens: 0,
				})
			}
			time.Sleep(10 * time.Millisecond)
			l.detectPause(time.Now())
			b.ReportAllocs()
			b.ResetTimer()
			r := Reservation{}
			for i := range b.N {
				if i%10_000 == 0 {
					l.detectPause(time.Now())
				}
				if err := l.ReserveInto(ctx, &r, Request{
					Team:   names[i%count],
					Tokens: 10,
				}); err != nil {
					b.Fatal(err)
				}
				r.Settle(5)
			}
		})
	}
}

// TestReserveAllocates checks that a local admission allocates nothing.
func TestReserveAllocates(t *testing.T) {
	team := configurator.Team{
		Name:  "team",
		Rate:  1e12,
		Burst: 1e12,
	}
	l := New(Config{
		Mode:     parser.LimitEqual,
		Domains:  []string{"a"},
		MaxPause: time.Hour,
		Team:     func(string) (configurator.Team, bool) { return team, true },
	})
	ctx := context.Background()
	r := Reservation{}
	_ = l.ReserveInto(ctx, &r, Request{
		Team:   "team",
		Tokens: 0,
	})
	time.Sleep(time.Millisecond)
	allocations := testing.AllocsPerRun(1000, func() {
		if err := l.ReserveInto(ctx, &r, Request{
			Team:   "team",
			Tokens: 10,
		}); err != nil {
			t.Fatal(err)
		}
		r.Settle(5)
	})
	if allocations != 0 {
		t.Fatalf("Reserve made %v allocations, want none", allocations)
	}
}

// BenchmarkExchange measures one demand and its answer, by the number of teams that hold loans.
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{5, 50, 500} {
		b.Run(fmt.Sprint("teams=", count), func(b *testing.B) {
			l := New(Config{
				Self: messenger.Sender{
					Name:   "a",
					Domain: "a",
				},
				Domain:  "a",
				Mode:    parser.LimitLoans,
				Domains: []string{"a"},
				Team: func(name string) (configurator.Team, bool) {
					return configurator.Team{
						Name:  name,
						Rate:  1e6,
						Burst: 1e6,
					}, true
				},
				Term: func(string) (Term, bool) {
					return Term{
						Epoch: 1,
						Check: func() error { return nil },
					}, true
				},
				Owner: func(string) (messenger.Peer, uint64, bool) {
					return messenger.Peer{
						Name: "a",
					}, 1, true
				},
			})
			lender := l.lenders[0]
			lender.startEpoch(1, time.Now())
			lender.installTable(time.Now(), dutyTable{
				Epoch:     1,
				LendLimit: 0.4,
				Members:   map[string]bool{"a": false},
			}, 1)
			for i := range count {
				l.bucket(time.Now(), fmt.Sprint("team-", i)).forecast.add(1000)
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, bucket := range l.borrowers[0].list() {
					bucket.forecast.add(10)
				}
				l.borrowers[0].exchange(context.Background())
			}
		})
	}
}
