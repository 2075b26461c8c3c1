package binder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// start starts an emulated platform and returns it with a Store that calls it.
func start(t *testing.T, config binder.Config) (*platformer.Platform, *storer.Store) {
	t.Helper()
	platform := platformer.New(platformer.Config{})
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	config.URL = server.URL
	return platform, binder.New(config)
}

func TestSwapGetListDelete(t *testing.T) {
	is := is.New(t)
	_, store := start(t, binder.Config{})
	ctx := t.Context()
	var absent *storer.Absent
	_, err := store.Get(ctx, "a/1")
	is.True(errors.As(err, &absent))
	first, err := store.Swap(ctx, storer.Swap{
		Key:   "a/1",
		Value: []byte("one"),
	})
	is.NoErr(err)
	_, err = store.Swap(ctx, storer.Swap{
		Key:   "a/1",
		Value: []byte("two"),
	})
	var conflict *storer.Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, first.Revision)
	entries, err := store.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(string(entries[0].Value), "one")
	is.NoErr(store.Delete(ctx, "a/1", first.Revision))
	changes, err := store.Watch(ctx, "a/", first.Revision)
	is.NoErr(err)
	is.Equal(changes.Deleted, []string{"a/1"})
}

func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	is := is.New(t)
	platform, store := start(t, binder.Config{})
	platform.SetFaults(platformer.Faults{
		Lost: 1,
	})
	own := func(value []byte) bool { return string(value) == "mine" }
	entry, err := store.SwapIdentified(t.Context(), storer.Swap{
		Key:   "k",
		Value: []byte("mine"),
	}, own)
	is.NoErr(err)
	is.Equal(string(entry.Value), "mine")
	is.Equal(platform.Counts().Kinds[binder.PathSwap], int64(1)) // the write was not repeated
}

func TestLostAnswerOfLosingSwapIsConflict(t *testing.T) {
	is := is.New(t)
	platform, store := start(t, binder.Config{})
	_, err := store.Swap(t.Context(), storer.Swap{
		Key:   "k",
		Value: []byte("theirs"),
	})
	is.NoErr(err)
	platform.SetFaults(platformer.Faults{
		Lost: 1,
	})
	_, err = store.SwapIdentified(t.Context(), storer.Swap{
		Key:   "k",
		Value: []byte("mine"),
	}, func(value []byte) bool { return string(value) == "mine" })
	var conflict *storer.Conflict
	is.True(errors.As(err, &conflict))
}

func TestStaleReadLeavesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	platform, store := start(t, binder.Config{})
	platform.SetFaults(platformer.Faults{
		Lost:  1,
		Stale: true,
	})
	_, err := store.SwapIdentified(t.Context(), storer.Swap{
		Key:   "k",
		Value: []byte("mine"),
	}, func(value []byte) bool { return string(value) == "mine" })
	var unavailable *storer.Unavailable
	is.True(errors.As(err, &unavailable)) // the write may have taken effect, so the error must not rule that out
}

func TestLeaseDeadlineCountsFromBeforeTheRequest(t *testing.T) {
	is := is.New(t)
	sent := time.Unix(1000, 0)
	var calls atomic.Int64
	_, store := start(t, binder.Config{
		Now: func() time.Time { return sent.Add(time.Duration(calls.Add(1)-1) * time.Hour) },
	})
	lease, err := store.Grant(t.Context(), time.Minute)
	is.NoErr(err)
	is.Equal(lease.Deadline, sent.Add(time.Minute))
	is.NoErr(store.Revoke(t.Context(), lease.ID))
	_, err = store.Renew(t.Context(), lease.ID)
	var lapsed *storer.Lapsed
	is.True(errors.As(err, &lapsed))
}

// startBreakingServer starts a server that answers the first request and, after reading the second, closes
// its connection without an answer, after which net/http may resend the request.
func startBreakingServer(t *testing.T) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 1<<12)
		for {
			if _, err := r.Body.Read(buffer); err != nil {
				break
			}
		}
		if received.Add(1) == 2 {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
			return
		}
		_, _ = w.Write([]byte("{}"))
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(server.Close)
	return server, &received
}

func TestWriteIsNotResentOnBrokenConnection(t *testing.T) {
	is := is.New(t)
	server, received := startBreakingServer(t)
	store := binder.New(binder.Config{
		URL: server.URL,
	})
	_, err := store.Swap(t.Context(), storer.Swap{
		Key: "warm",
	})
	is.NoErr(err)
	_, err = store.Swap(t.Context(), storer.Swap{
		Key:   "k",
		Value: []byte("once"),
	})
	var unavailable *storer.Unavailable
	is.True(errors.As(err, &unavailable))
	is.Equal(received.Load(), int64(2))
}

// TestTransportResendsWithIdempotencyHeader verifies that the test above can fail: with an idempotency
// header the same client does resend the request, so that the server sees a third one.
func TestTransportResendsWithIdempotencyHeader(t *testing.T) {
	is := is.New(t)
	server, received := startBreakingServer(t)
	client := binder.NewClient()
	for range 2 {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, http.NoBody)
		is.NoErr(err)
		request.Header.Set("Idempotency-Key", "k")
		response, err := client.Do(request)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	is.Equal(received.Load(), int64(3))
}

func TestReadsAreRepeatedWithinAttempts(t *testing.T) {
	is := is.New(t)
	platform, store := start(t, binder.Config{
		Attempts: 3,
	})
	platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageRefuse,
	})
	_, err := store.Get(t.Context(), "k")
	var unavailable *storer.Unavailable
	is.True(errors.As(err, &unavailable))
	is.Equal(platform.Counts().Kinds[binder.PathGet], int64(3))
}

func TestBudgetLimitsCalls(t *testing.T) {
	is := is.New(t)
	platform, store := start(t, binder.Config{
		WritesPerSecond: 1,
		Timeout:         30 * time.Millisecond,
	})
	_, err := store.Swap(t.Context(), storer.Swap{
		Key: "a",
	})
	is.NoErr(err)
	_, err = store.Swap(t.Context(), storer.Swap{
		Key: "b",
	})
	var overBudget *binder.OverBudget
	is.True(errors.As(err, &overBudget))
	is.Equal(platform.Counts().Writes, int64(1))
}

// TestReadsSucceedWhenConnectionsGoSilentForGood guards against a read whose every attempt takes another of the
// connections that have gone silent.
func TestReadsSucceedWhenConnectionsGoSilentForGood(t *testing.T) {
	is := is.New(t)
	platform, store := start(t, binder.Config{
		Timeout: 200 * time.Millisecond,
	})
	platform.SetFaults(platformer.Faults{
		Milliseconds: 50,
	})
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = store.List(t.Context(), "") })
	}
	calls.Wait()
	platform.SetFaults(platformer.Faults{
		Outage: platformer.OutageStuck,
	})
	_, err := store.List(t.Context(), "")
	is.NoErr(err)
}

// TestOddStatusIsNoAnswer guards against an answer of the store that is none, although its body reads like one.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				body := `{"code":"` + string(binder.CodeConflict) + `"}`
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
				conn.Close()
			}
		}()
		store := binder.New(binder.Config{
			URL: "http://" + listener.Addr().String(),
		})
		_, err = store.Swap(t.Context(), storer.Swap{
			Key: "a",
		})
		var unavailable *storer.Unavailable
		is.True(errors.As(err, &unavailable))
		listener.Close()
	}
}
