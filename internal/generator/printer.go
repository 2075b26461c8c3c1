package generator

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The percentiles that are printed.
const (
	median = 50
	tail   = 99
)

// Print writes one line of key=value pairs for each route and one for the
// difference between them. Times are in microseconds.
func (r Report) Print(to io.Writer) {
	r.Direct.print(to, "direct")
	r.Entry.print(to, "entry")
	_, _ = fmt.Fprintf(to, "load=added first_p50_us=%d first_p99_us=%d whole_p50_us=%d\n",
		difference(r.Entry.First, r.Direct.First, median),
		difference(r.Entry.First, r.Direct.First, tail),
		difference(r.Entry.Whole, r.Direct.Whole, median))
}

func (s RouteStats) print(to io.Writer, name string) {
	_, _ = fmt.Fprintf(to, "load=%s requests=%d failed=%d seconds=%.2f rate=%.0f first_p50_us=%d first_p99_us=%d whole_p50_us=%d whole_p99_us=%d",
		name, s.Requests, s.Failed, s.Span.Seconds(), float64(s.Requests)/s.Span.Seconds(),
		s.First.ValueAtQuantile(median), s.First.ValueAtQuantile(tail),
		s.Whole.ValueAtQuantile(median), s.Whole.ValueAtQuantile(tail))
	if s.CPUTime > 0 {
		_, _ = fmt.Fprintf(to, " requests_a_core_second=%.0f memory_bytes=%d", float64(s.Requests)/s.CPUTime.Seconds(), s.Memory)
	}
	_, _ = fmt.Fprintln(to)
}

// difference returns by how much a's value at the quantile exceeds b's.
func difference(a, b *hdrhistogram.Histogram, quantile float64) int64 {
	return a.ValueAtQuantile(quantile) - b.ValueAtQuantile(quantile)
}
