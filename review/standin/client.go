package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// hostName is the host of all routes.
const hostName = "ficu95.example"

// requestNumber numbers the requests of all clients.
var requestNumber atomic.Uint64

// newID returns the identity of a new attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+requestNumber.Add(1)) }

// try is one attempt of a client.
type try struct {
	front  *front
	id     string
	method string
	target string
	header map[string]string
	body   string
	// limit is how long the client waits.
	limit time.Duration
}

// outcome is what a client got.
type outcome struct {
	status int
	header http.Header
	// events are the events that arrived whole, by their number, as the text after "data: ".
	events map[int]string
	// last is the number of the last event.
	last int
	body []byte
	// complete is set if the answer ended properly.
	complete bool
	err      error
}

// send sends a request on a new channel and reads the answer.
func (t *try) send(ctx context.Context, r *record) outcome {
	ctx, cancel := context.WithTimeout(ctx, t.limit)
	defer cancel()
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	request, err := http.NewRequestWithContext(ctx, t.method, "http://"+t.front.address(), strings.NewReader(t.body))
	if err != nil {
		return outcome{err: err}
	}
	request.URL.Opaque = t.target
	request.Host = hostName
	request.Header.Set("Request-Id", t.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(t.limit.Milliseconds(), 10))
	for name, value := range t.header {
		request.Header.Set(name, value)
	}
	r.line("request %s %s %s %v to %s", t.id, t.method, t.target, t.header, t.front.name)
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.line("request %s: %v", t.id, err)
		return outcome{err: err}
	}
	defer response.Body.Close()
	o := outcome{
		status: response.StatusCode,
		header: response.Header,
		events: map[int]string{},
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		o.readEvents(response.Body)
	} else {
		o.body, o.err = io.ReadAll(response.Body)
	}
	o.complete = o.err == nil
	r.line("request %s: %d after event %d, complete %v, retry after %q, error %v", t.id, o.status, o.last, o.complete, response.Header.Get("Retry-After"), o.err)
	return o
}

// readEvents reads the events of a stream until its end.
func (o *outcome) readEvents(from io.Reader) {
	reader := bufio.NewReader(from)
	number, data := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				o.err = err
			}
			return
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			number, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "" && number > 0:
			o.events[number], o.last = data, number
			number = 0
		}
	}
}
