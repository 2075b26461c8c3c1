package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Limits of a canceller: queued requests, concurrent workers, and the time for one
// cancel request.
const (
	cancelQueue   = 256
	cancelWorkers = 4
	cancelTimeout = time.Second
)

// abandonedRequest identifies a request whose answer is no longer needed, and its engine.
type abandonedRequest struct {
	address netip.AddrPort
	id      string
}

// canceller cancels abandoned requests at their engines. Closing the connection ends most of them; the
// explicit cancel request is for engines that do not detect the closed connection.
type canceller struct {
	client http.Client
	queue  chan abandonedRequest
}

func newCanceller(transport http.RoundTripper) *canceller {
	return &canceller{
		client: http.Client{
			Transport: transport,
			Timeout:   cancelTimeout,
		},
		queue: make(chan abandonedRequest, cancelQueue),
	}
}

// enqueue queues a request to be cancelled, or drops it if the queue is full.
func (c *canceller) enqueue(address netip.AddrPort, id string) {
	entry := abandonedRequest{
		address: address,
		id:      id,
	}
	select {
	case c.queue <- entry:
	default:
	}
}

// start starts the workers, which run until the context ends.
func (c *canceller) start(ctx context.Context) {
	for range cancelWorkers {
		go c.run(ctx)
	}
}

// run cancels queued requests until the context ends.
func (c *canceller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.queue:
			c.cancel(ctx, a)
		}
	}
}

// cancel sends one cancel request; errors are ignored.
func (c *canceller) cancel(ctx context.Context, a abandonedRequest) {
	address := "http://" + a.address.String() + "/v1/requests/" + a.id + "/cancel"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, http.NoBody)
	if err != nil {
		return
	}
	answer, err := c.client.Do(request)
	if err == nil {
		_ = answer.Body.Close()
	}
}
