package claimer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/verifier/seeder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// callResult is the result of one call, as its caller sees it.
type callResult struct {
	key string
	ran bool
}

// atMostOnceModel is the porcupine model of a call that runs at most once for each key.
var atMostOnceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(string)
			parts[key] = append(parts[key], op)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		if !output.(callResult).ran {
			return true, state
		}
		return !state.(bool), true
	},
}

// TestAtMostOnceModelRejectsSecondRun checks that the model rejects a history in which a call runs twice.
func TestAtMostOnceModelRejectsSecondRun(t *testing.T) {
	is := is.New(t)
	op := func(id int, ran bool) porcupine.Operation {
		return porcupine.Operation{
			ClientId: id,
			Input:    "k",
			Output: callResult{
				ran: ran,
			},
			Call:   int64(id),
			Return: int64(id) + 5,
		}
	}
	is.True(porcupine.CheckOperations(atMostOnceModel, []porcupine.Operation{op(0, true), op(1, false)}))
	is.True(!porcupine.CheckOperations(atMostOnceModel, []porcupine.Operation{op(0, true), op(1, true)}))
}

// runHistory runs callers that repeat their calls through several instances, which are replaced after crashes, with
// a faulty store.
func runHistory(t *testing.T, seed uint64, skipReadBack bool) (history []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(seed, 4))
		random := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		store := newFakeStore(seed)
		store.faulty = true
		instances := make([]*Claimer, 3)
		boot := func(i, incarnation int) {
			c := New(Config{
				Self: messenger.Sender{
					Name:        fmt.Sprint(i),
					Incarnation: uint64(incarnation),
				},
				Store: store.store(),
			})
			c.skipReadBack = skipReadBack
			mu.Lock()
			instances[i] = c
			mu.Unlock()
		}
		for i := range instances {
			boot(i, 0)
		}
		var group sync.WaitGroup
		for caller := range 40 {
			group.Go(func() {
				key := fmt.Sprint("key", caller%10)
				for range 6 {
					time.Sleep(time.Duration(random(500)) * time.Millisecond)
					mu.Lock()
					c := instances[rng.IntN(3)]
					mu.Unlock()
					call := time.Now().UnixNano()
					claim, err := c.Claim(context.Background(), Request{
						Team:     "t",
						Service:  "s",
						Key:      key,
						Digest:   "d",
						Deadline: time.Now().Add(time.Second),
					})
					ran := err == nil && random(3) > 0
					if err == nil {
						time.Sleep(time.Duration(random(100)) * time.Millisecond)
						outcome := refuser.NotRun
						if ran {
							outcome = refuser.Unknown
						}
						claim.Finish(outcome)
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: caller,
						Input:    key,
						Output: callResult{
							key: key,
							ran: ran,
						},
						Call:   call,
						Return: time.Now().UnixNano(),
					})
					mu.Unlock()
				}
			})
		}
		for step := range 12 {
			time.Sleep(250 * time.Millisecond)
			boot(random(3), step+1)
			store.mu.Lock()
			store.outage = step%4 == 2
			store.mu.Unlock()
		}
		group.Wait()
		time.Sleep(2 * time.Minute)
	})
	return history
}

// TestOnce checks that in seeded histories with faults no call runs twice, and that some do without reading back
// after lost answers.
func TestOnce(t *testing.T) {
	is := is.New(t)
	ran, violations := 0, 0
	tried := 0
	for seed := range seeder.Seeds(200) {
		tried++
		history := runHistory(t, uint64(seed), false)
		is.True(porcupine.CheckOperations(atMostOnceModel, history))
		for _, op := range history {
			if op.Output.(callResult).ran {
				ran++
			}
		}
		if tried <= 10 && !porcupine.CheckOperations(atMostOnceModel, runHistory(t, uint64(seed), true)) {
			violations++
		}
	}
	is.True(ran > 1000)     // the histories must not be empty
	is.True(violations > 5) // without reading back, some calls run twice
}

// TestRelease checks that a call that did not run may be repeated through another instance, and that a call
// that may have run may not.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore(1)
		first := New(Config{
			Self: messenger.Sender{
				Name: "a",
			},
			Store: store.store(),
		})
		second := New(Config{
			Self: messenger.Sender{
				Name: "b",
			},
			Store: store.store(),
		})
		request := Request{
			Team:    "t",
			Service: "s",
			Key:     "k",
			Digest:  "d",
		}
		ctx := context.Background()
		claim, err := first.Claim(ctx, request)
		is.NoErr(err)
		claim.Finish(refuser.NotRun)
		claim, err = second.Claim(ctx, request)
		is.NoErr(err)
		claim.Finish(refuser.Unknown)
		for _, c := range []*Claimer{first, second, first} {
			_, err = c.Claim(ctx, request)
			is.Equal(code(err), refuser.CodeRepeat)
		}
		request.Digest = "other"
		_, err = first.Claim(ctx, request)
		is.Equal(code(err), refuser.CodeBadRequest)
	})
}

// TestOutage checks that nothing runs while claims cannot be stored.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore(1)
		c := New(Config{
			Self: messenger.Sender{
				Name: "a",
			},
			Store: store.store(),
		})
		store.outage = true
		_, err := c.Claim(context.Background(), Request{
			Team:     "t",
			Service:  "s",
			Key:      "k",
			Digest:   "d",
			Deadline: time.Now().Add(time.Second),
		})
		is.Equal(code(err), refuser.CodeStore)
		store.outage = false
		_, err = c.Claim(context.Background(), Request{
			Team:    "t",
			Service: "s",
			Key:     "k",
			Digest:  "d",
		})
		is.NoErr(err)
		is.Equal(store.leases, 1)
		_, err = c.Claim(context.Background(), Request{
			Team:    "t",
			Service: "s",
			Key:     "l",
			Digest:  "d",
		})
		is.NoErr(err)
		is.Equal(store.leases, 1) // claims share a lease
		is.Equal(store.writes, 2) // one write for each claim
		time.Sleep(2 * time.Minute)
	})
}

// code returns the code of a refusal, or an empty one for other errors.
func code(err error) refuser.Code {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Code
}
