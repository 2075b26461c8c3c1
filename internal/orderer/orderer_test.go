package orderer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

func engineAt(address net.Addr) storer.Instance {
	return storer.Instance{
		Name:    "engine",
		Role:    storer.RoleEngine,
		Address: netip.MustParseAddrPort(address.String()),
	}
}

// loadOrder returns an order that expires in a minute.
func loadOrder() Order {
	return Order{
		ID:         "o1",
		Kind:       Load,
		Epoch:      7,
		Expiry:     time.Now().Add(time.Minute),
		Checkpoint: "c",
		Bytes:      5,
	}
}

func TestStatusSelectsTheError(t *testing.T) {
	for status, want := range map[int]string{
		202: "",
		409: "old fencing",
		410: "expired",
		507: "no memory",
		500: "refused",
		307: "refused",
	} {
		is := is.New(t)
		var got *http.Request
		var payload []byte
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r
			payload, _ = io.ReadAll(r.Body)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		err := New(Config{}).Order(context.Background(), engineAt(server.Listener.Addr()), loadOrder())
		server.Close()
		is.Equal(got.URL.Path, "/v1/models/load")
		is.Equal(got.Header.Get(HeaderFencing), "7")
		is.Equal(got.Header.Get(HeaderOrder), "o1")
		is.Equal(string(payload), `{"checkpoint":"c","bytes":5}`)
		if want == "" {
			is.NoErr(err)
			continue
		}
		is.Equal(errorKind(err), want)
	}
}

// errorKind names the type of an error of Order.
func errorKind(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.As(err, new(*Fenced)):
		return "old fencing"
	case errors.As(err, new(*Expired)):
		return "expired"
	case errors.As(err, new(*NoMemory)):
		return "no memory"
	case errors.As(err, new(*Unanswered)):
		return "unreachable"
	default:
		return "refused"
	}
}

// newDroppingListener starts a listener that reads one request from each connection, counts it
// and closes the connection without an answer.
func newDroppingListener(t *testing.T, count *atomic.Int64) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = connection.Read(buffer)
			count.Add(1)
			_ = connection.Close()
		}
	}()
	return listener
}

// TestOrderIsNeverSentTwice guards against net/http resending an order whose
// connection breaks before the answer.
func TestOrderIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	var count atomic.Int64
	listener := newDroppingListener(t, &count)
	defer func() { _ = listener.Close() }()
	o := New(Config{})
	err := o.Order(context.Background(), engineAt(listener.Addr()), loadOrder())
	is.Equal(errorKind(err), "unreachable")
	is.Equal(count.Load(), int64(1))
	request, err := newRequest(context.Background(), engineAt(listener.Addr()), loadOrder())
	is.NoErr(err)
	is.True(request.GetBody == nil)
	is.True(request.Close)
}

func TestExpiredOrderIsNotSent(t *testing.T) {
	is := is.New(t)
	var count atomic.Int64
	listener := newDroppingListener(t, &count)
	defer func() { _ = listener.Close() }()
	order := loadOrder()
	order.Expiry = time.Now().Add(-time.Nanosecond)
	err := New(Config{}).Order(context.Background(), engineAt(listener.Addr()), order)
	is.Equal(errorKind(err), "expired")
	is.Equal(count.Load(), int64(0))
}

func TestOrderStopsWaitingAtItsExpiry(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	order := loadOrder()
	order.Expiry = time.Now().Add(50 * time.Millisecond)
	err = New(Config{}).Order(context.Background(), engineAt(listener.Addr()), order)
	is.Equal(errorKind(err), "unreachable")
}

// TestOddStatusIsNoAnswer guards against an order that counts as refused, or carried out, because of bytes that are no answer.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			conn.Close()
		}()
		err = New(Config{
			Client: NewClient(),
		}).Order(t.Context(), engineAt(listener.Addr()), loadOrder())
		is.Equal(errorKind(err), "unreachable") // it may have been carried out
		listener.Close()
	}
}
