package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/forwarder"
	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// heldBody is a body of which a part waits at the sender while its upstream does not read.
var heldBody = strings.Repeat("x", 256<<10)

// holdingUpstream is an upstream that reads nothing of a request until the caller has got an answer, as behind a partition.
type holdingUpstream struct {
	listener net.Listener
	accepted chan net.Conn
}

func newHoldingUpstream(t *testing.T) *holdingUpstream {
	t.Helper()
	listening := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			})
		},
	}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	u := &holdingUpstream{
		listener: listener,
		accepted: make(chan net.Conn, 1),
	}
	go u.run()
	return u
}

func (u *holdingUpstream) run() {
	conn, err := u.listener.Accept()
	if err == nil {
		u.accepted <- conn
	}
}

// readOn reads the request that the upstream has held, and returns the error if it is not complete.
func (u *holdingUpstream) readOn() error {
	conn := <-u.accepted
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	return err
}

// TestRequestThatWasGivenUpDoesNotArriveLater guards against a request that reaches its upstream after its caller has left, or its
// time has passed, while the upstream was unreachable.
func TestRequestThatWasGivenUpDoesNotArriveLater(t *testing.T) {
	routed := func(stream bool) func(context.Context, *testing.T, *harness) *refuser.Refusal {
		return func(ctx context.Context, t *testing.T, h *harness) *refuser.Refusal {
			c := newRouted()
			c.Method, c.Body, c.Stream, c.MaxAttempts = http.MethodPost, []byte(heldBody), stream, 1
			return h.route(ctx, t, c).refused
		}
	}
	for name, send := range map[string]func(context.Context, *testing.T, *harness) *refuser.Refusal{
		"routed request": routed(false),
		"routed stream":  routed(true),
		"call": func(ctx context.Context, t *testing.T, h *harness) *refuser.Refusal {
			_, refused := h.call(ctx, t, http.MethodPost, heldBody, true)
			return refused
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := newHoldingUpstream(t)
			h := newHarness(forwarder.Config{}, upstream.listener.Addr().String())
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			refused := send(ctx, t, h)
			is.True(refused != nil)
			is.Equal(refused.Outcome, refuser.Unknown)
			is.True(upstream.readOn() != nil)
		})
	}
}
