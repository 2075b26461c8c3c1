package orderer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/completer"
	"github.com/buckthorngap/buckthorngap/internal/connector"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Header fields of an order: its fencing number, ID and expiry.
const (
	HeaderFencing = "X-Fencing-Number"
	HeaderOrder   = "X-Order-Id"
	HeaderExpiry  = "X-Order-Expiry"
)

// answerBytes is the maximum number of bytes of an answer that are read before its
// connection is closed.
const answerBytes = 4 << 10

// Config configures an Orderer.
type Config struct {
	// Client sends the orders; nil means NewClient, which never reuses a connection.
	Client *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Orderer sends orders to engines.
type Orderer struct {
	client *http.Client
	now    func() time.Time
}

// New returns an Orderer.
func New(config Config) *Orderer {
	orderer := &Orderer{
		client: config.Client,
		now:    config.Now,
	}
	if orderer.client == nil {
		orderer.client = NewClient()
	}
	if orderer.now == nil {
		orderer.now = time.Now
	}
	return orderer
}

// NewClient returns a client that opens a new connection for each order, because the transport may
// resend a request if a kept-alive connection breaks. It does not follow redirects.
func NewClient() *http.Client {
	return &http.Client{
		Transport: completer.New(&http.Transport{
			DialContext:       connector.New(0).DialContext,
			DisableKeepAlives: true,
		}, completer.Config{}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Order sends an order once and waits for the answer until the order expires. It
// returns *Fenced, *Expired, *NoMemory or *Refused according to the engine's
// answer, and *Unanswered if no answer was received.
func (o *Orderer) Order(ctx context.Context, engine storer.Instance, order Order) error {
	remaining := order.Expiry.Sub(o.now())
	if remaining <= 0 {
		return &Expired{
			Order: order.ID,
		}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	request, err := newRequest(ctx, engine, order)
	if err != nil {
		return &Unanswered{
			Order: order.ID,
			Cause: err,
		}
	}
	answer, err := o.client.Do(request)
	if err != nil {
		return &Unanswered{
			Order: order.ID,
			Cause: err,
		}
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.CopyN(io.Discard, answer.Body, answerBytes)
	return statusError(order, answer.StatusCode)
}

// newRequest returns the HTTP request of an order, which the transport cannot resend.
func newRequest(ctx context.Context, engine storer.Instance, order Order) (*http.Request, error) {
	payload, err := encode(order)
	if err != nil {
		return nil, err
	}
	url := "http://" + engine.Address.String() + paths[order.Kind]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, onceReader{
		Reader: bytes.NewReader(payload),
	})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(payload))
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderFencing, strconv.FormatUint(order.Epoch, 10))
	request.Header.Set(HeaderOrder, order.ID)
	request.Header.Set(HeaderExpiry, order.Expiry.Format(time.RFC3339Nano))
	return request, nil
}

// statusError returns the error for the status of an engine's answer, or nil for success.
func statusError(order Order, status int) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return &Fenced{
			Order: order.ID,
		}
	case status == http.StatusGone:
		return &Expired{
			Order: order.ID,
		}
	case status == http.StatusInsufficientStorage:
		return &NoMemory{
			Order: order.ID,
		}
	default:
		return &Refused{
			Order:  order.ID,
			Status: status,
		}
	}
}
