package forwarder

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestLargeAnswersTakeNoMemoryFromOrdinaryOnes guards against answers that are refused because others have taken all the memory, and
// against memory that is not given back.
func TestLargeAnswersTakeNoMemoryFromOrdinaryOnes(t *testing.T) {
	const limit, largest = 1 << 20, 1 << 20
	is := is.New(t)
	f := New(Config{
		AnswerMemoryBytes: limit,
	})
	read := func(size int) (*wholeAnswer, error) {
		answer := &wholeAnswer{
			memory: &f.memory,
		}
		return answer, answer.read(bytes.NewReader(make([]byte, size)), largest)
	}
	large, err := read(largest)
	is.NoErr(err)
	is.Equal(len(large.data), largest)
	refused, err := read(largest / 2)
	var noMemory *AnswersTooLarge
	is.True(errors.As(err, &noMemory))
	refused.release()
	ordinary, err := read(answerBuffer - 1)
	is.NoErr(err)
	ordinary.release()
	large.release()
	again, err := read(largest)
	is.NoErr(err)
	again.release()
	tooLarge, err := read(largest + 1)
	var exceeded *AnswerTooLarge
	is.True(errors.As(err, &exceeded))
	tooLarge.release()
	is.Equal(f.memory.taken.Load(), int64(0))
}
