package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// refetchDelay is the delay before a retry after the weight store refused a read for its rate limit.
const refetchDelay = 100 * time.Millisecond

// Fetcher reads checkpoints from the weight store over HTTP.
type Fetcher struct {
	// URL is the base URL of the weight store.
	URL string
	// Client sends the requests.
	Client *http.Client
}

// FetchFailed reports that the weight store did not deliver a checkpoint.
type FetchFailed struct {
	// Checkpoint is the requested checkpoint.
	Checkpoint string
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Cause is the transport's error, or nil.
	Cause error
}

// Error implements error.
func (e *FetchFailed) Error() string { return "weight store did not deliver " + e.Checkpoint }

// Unwrap returns the transport's error.
func (e *FetchFailed) Unwrap() error { return e.Cause }

// Fetch reads a checkpoint of the given size in bytes. While the store refuses
// it for its rate limit, Fetch retries after a delay. It returns *FetchFailed or
// the context's error.
func (f *Fetcher) Fetch(ctx context.Context, checkpoint string, size int64) error {
	for {
		status, err := f.fetchOnce(ctx, checkpoint, size)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err != nil || status != http.StatusTooManyRequests {
			return &FetchFailed{
				Checkpoint: checkpoint,
				Status:     status,
				Cause:      err,
			}
		}
		if err := sleep(ctx, refetchDelay); err != nil {
			return err
		}
	}
}

// fetchOnce sends one request, discards the body and returns the HTTP status.
func (f *Fetcher) fetchOnce(ctx context.Context, checkpoint string, size int64) (int, error) {
	body, err := json.Marshal(order{
		Checkpoint: checkpoint,
		Bytes:      size,
	})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/v1/fetch", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := f.Client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
