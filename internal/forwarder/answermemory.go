package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

// initialAnswer is the size of the buffer with which the reading of a whole answer begins, in bytes.
const initialAnswer = 4 << 10

// answerMemory bounds the memory of all answers together that are read whole before they are delivered. The first answerBuffer bytes
// of each are free, so that a few endless answers take no memory from ordinary ones.
type answerMemory struct {
	// limit is the memory that may be taken, in bytes.
	limit int64
	taken atomic.Int64
}

// wholeAnswer is the body of an answer that is read to its end, with the memory that it has taken.
type wholeAnswer struct {
	memory *answerMemory
	taken  int64
	data   []byte
}

// read reads a body to its end. It returns *AnswerTooLarge above the maximum size, in bytes, and *AnswersTooLarge if there is no
// memory.
func (a *wholeAnswer) read(from io.Reader, maxBytes int64) error {
	for {
		if len(a.data) == cap(a.data) {
			if err := a.grow(maxBytes + 1); err != nil {
				return err
			}
		}
		n, err := from.Read(a.data[len(a.data):cap(a.data)])
		a.data = a.data[:len(a.data)+n]
		if int64(len(a.data)) > maxBytes {
			return &AnswerTooLarge{
				Bytes: maxBytes,
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer up to a size, in bytes.
func (a *wholeAnswer) grow(maxSize int64) error {
	size := min(max(initialAnswer, 2*int64(cap(a.data))), maxSize)
	needed := max(0, size-answerBuffer) - a.taken
	if a.memory.taken.Add(needed) > a.memory.limit {
		a.memory.taken.Add(-needed)
		return &AnswersTooLarge{
			Bytes: a.memory.limit,
		}
	}
	a.taken += needed
	a.data = append(make([]byte, 0, size), a.data...)
	return nil
}

// release gives the memory back.
func (a *wholeAnswer) release() { a.memory.taken.Add(-a.taken) }
