package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/server"
	"github.com/buckthorngap/buckthorngap/internal/waiter"
)

// drainNotice is the notice of the servers in these tests, and drainTime how long they drain after it. A request that is answered
// because it was refused has its answer long before the drain ends.
const (
	drainNotice = 100 * time.Millisecond
	drainTime   = 5 * time.Second
)

// drainingConfig returns the configuration of a server that only forwards by route, and drains.
func drainingConfig() server.Config {
	return server.Config{
		Routed:      true,
		DrainNotice: drainNotice,
	}
}

// drain starts to drain the server. The channel receives how long it took.
func (f *routedFixture) drain(t *testing.T, limit time.Duration) <-chan time.Duration {
	t.Helper()
	began := time.Now()
	ended := make(chan time.Duration, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drainNotice+limit)
		defer cancel()
		_ = f.server.Drain(ctx)
		ended <- time.Since(began)
	}()
	for f.server.Ready() {
		time.Sleep(time.Millisecond)
	}
	return ended
}

// rawRequest returns the head of a request for /once/1 whose body has a length, with the given key.
const rawRequest = "POST /once/1 HTTP/1.1\r\nHost: depot.example\r\nX-Api-Key: " + secret + "\r\nContent-Length: 4\r\n\r\n"

// dial opens a connection to the server.
func (f *routedFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// readAnswer returns the status and body of the answer on a connection, or the text of the error.
func readAnswer(c net.Conn) (int, string) {
	_ = c.SetReadDeadline(time.Now().Add(2 * drainTime))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// TestDrainAnswersARequestThatWaitsAgain guards against a shutdown that leaves without an answer a request which an engine has
// refused and which waits for an engine again.
func TestDrainAnswersARequestThatWaitsAgain(t *testing.T) {
	is := is.New(t)
	refused := make(chan struct{})
	var f *routedFixture
	f = newRoutedFixture(t, drainingConfig(), func(w http.ResponseWriter, _ *http.Request) {
		f.full.Store(true)
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		close(refused)
	})
	go func() {
		<-refused
		f.drain(t, drainTime)
	}()
	began := time.Now()
	response, body := f.send(t, http.MethodPost, "/prompt/1", "", "X-Model", "ledger")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"stopping"`))
	is.True(response.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < drainTime/2)
}

// TestDrainAnswersARequestThatReturnsFromAnEngine guards against a shutdown that leaves without an answer a request which an engine
// refuses only after the requests that wait were refused.
func TestDrainAnswersARequestThatReturnsFromAnEngine(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	var f *routedFixture
	f = newRoutedFixture(t, drainingConfig(), func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		time.Sleep(4 * drainNotice)
		f.full.Store(true)
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	go func() {
		<-arrived
		f.drain(t, drainTime)
	}()
	response, body := f.send(t, http.MethodPost, "/prompt/1", "", "X-Model", "ledger")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"stopping"`))
}

// TestDrainAnswersARequestThatIsWholeLate guards against a shutdown that accepts a request whose body arrives after the requests
// that wait were refused, and then leaves it without an answer.
func TestDrainAnswersARequestThatIsWholeLate(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, drainingConfig(), func(http.ResponseWriter, *http.Request) {})
	f.full.Store(true)
	c := f.dial(t)
	_, _ = io.WriteString(c, rawRequest+"cr")
	ended := f.drain(t, drainTime)
	time.Sleep(3 * drainNotice)
	_, _ = io.WriteString(c, "at")
	status, body := readAnswer(c)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"stopping"`))
	is.True(<-ended < drainTime/2)
	is.Equal(len(f.requests), 0)
}

// TestDrainAnswersARequestThatWaitsForItsLimit guards against a shutdown that leaves without an answer a request which waits for
// its team's limit while the requests that wait for an upstream are refused.
func TestDrainAnswersARequestThatWaitsForItsLimit(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, drainingConfig(), func(http.ResponseWriter, *http.Request) {})
	f.overLimit.Store(true)
	f.drain(t, drainTime)
	began := time.Now()
	response, body := f.send(t, http.MethodPost, "/once/1", "", "X-Api-Key", secret)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"stopping"`))
	is.True(time.Since(began) < drainTime/2)
}

// TestDrainRefusesARequestAfterTheNotice guards against a shutdown that sends on a request which arrives too late to finish, or closes
// its connection without an answer, while another request is still running.
func TestDrainRefusesARequestAfterTheNotice(t *testing.T) {
	is := is.New(t)
	running, finish := context.WithCancel(t.Context())
	f := newRoutedFixture(t, drainingConfig(), func(http.ResponseWriter, *http.Request) { <-running.Done() })
	t.Cleanup(finish)
	late, early := f.dial(t), f.dial(t)
	_, _ = io.WriteString(early, rawRequest+"crat")
	is.True(waiter.Poll(t.Context(), time.Millisecond, func() bool { // the server has accepted both connections
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.requests) == 1
	}))
	ended := f.drain(t, drainTime)
	time.Sleep(3 * drainNotice)
	_, _ = io.WriteString(late, rawRequest+"crat")
	status, body := readAnswer(late)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"stopping"`))
	finish()
	status, _ = readAnswer(early)
	is.Equal(status, http.StatusOK)
	is.True(<-ended < drainTime/2)
	is.Equal(len(f.requests), 1)
}

// TestDrainAnswersWhatHasNotFinished guards against a shutdown that cuts off, without an answer, a request which an upstream has not
// answered by the end of the drain, one that must not be repeated among them, and one whose body is not whole.
func TestDrainAnswersWhatHasNotFinished(t *testing.T) {
	is := is.New(t)
	f := newRoutedFixture(t, drainingConfig(), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	running, reading := f.dial(t), f.dial(t)
	_, _ = io.WriteString(running, rawRequest+"crat")
	_, _ = io.WriteString(reading, rawRequest+"cr")
	is.True(waiter.Poll(t.Context(), time.Millisecond, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.requests) == 1
	}))
	ended := f.drain(t, drainNotice)
	status, body := readAnswer(running)
	is.Equal(status, http.StatusBadGateway) // it may have run
	is.True(strings.Contains(body, `"stopping"`))
	status, body = readAnswer(reading)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"stopping"`))
	is.True(<-ended < drainTime/2)
}
