package logger_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/logger"
)

// stuck is an output that nobody reads.
type stuck struct {
	mu      sync.Mutex
	release chan struct{}
	written strings.Builder
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(line)
}

func TestLogNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	is := is.New(t)
	output := &stuck{
		release: make(chan struct{}),
	}
	now := time.Unix(1000, 0)
	log := logger.NewBounded(logger.BoundedConfig{
		Output: output,
		Lines:  10,
		Now:    func() time.Time { return now },
	})
	for i := range 1000 { // would block without a bound
		_, err := fmt.Fprintf(log, "line %d\n", i)
		is.NoErr(err)
	}
	now = now.Add(time.Second)
	for range 100 {
		_, _ = fmt.Fprintln(log, "later")
	}
	close(output.release)
	log.Close()
	_, _ = fmt.Fprintln(log, "too late")
	text := output.written.String()
	is.Equal(strings.Count(text, "line "), 40) // four seconds' lines at once
	is.Equal(strings.Count(text, "later"), 10) // and one second's after it
}
