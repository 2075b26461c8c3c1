package forwarder_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// TestInterruptedCallsThatDidNotRunNeverArrive guards against a call that is reported as not run and
// reaches its upstream all the same: the caller cancels it before the transport has written it, and the
// transport writes it afterwards.
func TestInterruptedCallsThatDidNotRunNeverArrive(t *testing.T) {
	is := is.New(t)
	notRun, arrived := interruptMany(t, forwarder.Config{})
	is.True(notRun > 0)
	is.Equal(arrived, 0)
}

// TestInterruptedCallsArriveWithoutTheSeal proves that the test above detects the fault.
func TestInterruptedCallsArriveWithoutTheSeal(t *testing.T) {
	is := is.New(t)
	_, arrived := interruptMany(t, forwarder.Config{
		AssumeUnsent: true,
	})
	is.True(arrived > 0)
}

// interruptMany cancels calls after random delays. It returns how many were reported
// as not run, and how many of those arrived at the upstream all the same.
func interruptMany(t *testing.T, config forwarder.Config) (notRun, arrived int) {
	is := is.New(t)
	var mu sync.Mutex
	received := map[string]bool{}
	upstream := newRawUpstream(t, func(_ int, request *http.Request) string {
		mu.Lock()
		received[request.Header.Get("X-Call")] = true
		mu.Unlock()
		return okAnswer(request)
	})
	h := newHarness(config, upstream.listener.Addr().String())
	var refused []string
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(5, uint64(caller)))
			for n := range 250 {
				key := strconv.Itoa(caller) + "-" + strconv.Itoa(n)
				if interrupt(t, h, key, time.Duration(random.IntN(300))*time.Microsecond) == refuser.NotRun {
					mu.Lock()
					refused = append(refused, key)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	// Once a last call on each connection is done, no earlier one can still arrive.
	for range 20 {
		is.Equal(interrupt(t, h, "last", time.Hour), refuser.Done)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, key := range refused {
		if received[key] {
			arrived++
		}
	}
	return len(refused), arrived
}

// interrupt sends a call that must not run twice and cancels it after a delay.
func interrupt(t *testing.T, h *harness, key string, delay time.Duration) refuser.Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(delay, cancel)
	defer timer.Stop()
	defer cancel()
	choice, ok := h.router.PickService("depot", "", nil)
	if !ok {
		t.Error("no upstream")
		return ""
	}
	_, err := h.forwarder.Serve(ctx, &forwarder.Call{
		Request: "r",
		Service: "depot",
		Method:  http.MethodPost,
		Path:    "/crates",
		Header: http.Header{
			"X-Call": []string{key},
		},
		Body:   []byte("crate"),
		Once:   true,
		Choice: choice,
		Check:  func() error { return nil },
		Begin:  func(int, http.Header) {},
		Write:  func([]byte) error { return nil },
	})
	var refused *refuser.Refusal
	if errors.As(err, &refused) {
		return refused.Outcome
	}
	return refuser.Done
}
