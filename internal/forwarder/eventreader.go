package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Field names of server-sent events, and the data that ends a stream.
var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	doneData  = []byte("[DONE]")
)

// eventReader reads server-sent events up to a maximum size.
type eventReader struct {
	reader *bufio.Reader
	// limit is the maximum size of an event, in bytes.
	limit int
	// buffer holds the current event.
	buffer []byte
}

// next reads the next event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends within one.
func (s *eventReader) next(e *event) error {
	s.buffer = s.buffer[:0]
	e.data, e.id = nil, -1
	start, end := 0, 0
	for {
		line, err := s.line()
		if err != nil {
			return err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(s.buffer) == len(line) {
				s.buffer = s.buffer[:0]
				continue
			}
			break
		}
		offset := len(s.buffer) - len(line)
		switch {
		case bytes.HasPrefix(text, dataField):
			value := bytes.TrimLeft(text[len(dataField):], " ")
			start, end = offset+len(text)-len(value), offset+len(text)
		case bytes.HasPrefix(text, idField):
			e.id = parseNumber(bytes.TrimSpace(text[len(idField):]))
		}
	}
	e.raw = s.buffer
	e.data = s.buffer[start:end]
	return nil
}

// line appends the next line to the buffer and returns it.
func (s *eventReader) line() ([]byte, error) {
	start := len(s.buffer)
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(s.buffer)+len(part) > s.limit {
			return nil, &EventTooLarge{
				Bytes: s.limit,
			}
		}
		s.buffer = append(s.buffer, part...)
		switch {
		case err == nil:
			return s.buffer[start:], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(s.buffer) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// parseNumber parses the number of an event, and returns -1 if there is none.
func parseNumber(text []byte) int64 {
	n, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
