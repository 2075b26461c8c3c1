package clocker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/buckthorngap/buckthorngap/internal/clocker"
)

func TestBootCountsWithoutMonotonicReading(t *testing.T) {
	is := is.New(t)
	clock := clocker.NewBoot()
	first := clock.Now()
	time.Sleep(2 * time.Millisecond)
	second := clock.Now()
	is.True(second.Sub(first) >= 2*time.Millisecond)
	is.Equal(first, first.Round(0)) // a monotonic reading would not advance during a suspension
	is.True(time.Until(second).Abs() < time.Minute)
}
