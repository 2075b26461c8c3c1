package completer

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"sync"
)

// exchange tells whether a request was written completely.
type exchange struct {
	mu sync.Mutex
	// conn is the connection; nil if it is not one of Wrap.
	conn connection
	// written is closed once the transport has ended to write the request, with err.
	written chan struct{}
	err     error
}

// connection is a connection of Wrap.
type connection interface {
	// ExpectAnswer begins to count the head of the next answer.
	ExpectAnswer()
	// WriteFailed waits for the end of a write that is under way, and reports whether any has failed.
	WriteFailed() bool
}

// trace returns the functions that the transport calls; again if it resends the request.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.conn, _ = info.Conn.(connection); e.conn != nil {
				e.conn.ExpectAnswer()
			}
			e.written, e.err = make(chan struct{}), nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.err = errors.Join(e.err, info.Err); e.written != nil {
				close(e.written)
				e.written = nil
			}
		},
	}
}

// complete reports whether the request was written, once it is known. After the end of an answer without a length that is
// soon: the transport then closes the connection.
func (e *exchange) complete(ctx context.Context) bool {
	e.mu.Lock()
	written := e.written
	e.mu.Unlock()
	if written != nil {
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err == nil && (e.conn == nil || !e.conn.WriteFailed())
}

// body is the body of an answer that the end of its connection ends.
type body struct {
	io.ReadCloser

	ctx      context.Context
	exchange *exchange
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF instead of io.EOF unless the request was written completely: an
// upstream that ends the connection before that has broken off.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.exchange.complete(b.ctx) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
