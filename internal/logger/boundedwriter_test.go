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

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written strings.Builder
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

func TestWritesAboveRateAreDroppedWithoutBlocking(t *testing.T) {
	is := is.New(t)
	output := &blockedWriter{
		release: make(chan struct{}),
	}
	now := time.Unix(1000, 0)
	log := logger.NewBoundedWriter(logger.BoundedWriterConfig{
		Output:         output,
		LinesPerSecond: 10,
		Now:            func() time.Time { return now },
	})
	for i := range 1000 { // would block if lines were not dropped
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
	is.Equal(strings.Count(text, "line "), 40) // the burst: four seconds of the rate
	is.Equal(strings.Count(text, "later"), 10) // then one second of the rate
}
