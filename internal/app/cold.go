package app

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/pacer"
)

// entryDelay bounds the time until the entry of an upstream that has become cold is known here: upstreams write theirs once a
// second or two.
const entryDelay = 2 * time.Second

// observeCold keeps the requests of all instances within what an upstream tolerates while it is cold, once it is listed so and
// before it gets the first request. Services whose configuration names no such rate get as many requests as ever.
func (f *Front) observeCold(name string) {
	row, ok := f.upstreams.Row(name)
	if !ok {
		return
	}
	if rate, limited := f.coldRate(row); limited {
		f.pacer.ObserveCold(paced(row), row.ColdLeft, rate)
	}
}

// assumeCold treats the upstreams of a failure domain that was taken back as cold until their entries would say so. They may have
// become cold shortly before, and get the requests of all instances at the same moment.
func (f *Front) assumeCold(domain string) {
	for _, upstream := range f.upstreams.Upstreams() {
		if upstream.Domain != domain {
			continue
		}
		row, _ := f.upstreams.Row(upstream.Name)
		if rate, limited := f.coldRate(row); limited {
			f.pacer.ExtendCold(paced(row), entryDelay, rate)
		}
	}
}

// coldRate returns the number of requests per second that an upstream tolerates while it is cold, and whether its service has
// such a limit.
func (f *Front) coldRate(row lister.Row) (float64, bool) {
	service, _ := f.adopter.Current().Service(row.Instance.Service)
	return service.ColdRate, service.ColdRate > 0
}

// paced names the listed start of an upstream for the pacer.
func paced(row lister.Row) pacer.Upstream {
	return pacer.Upstream{
		Name:   row.Instance.Name,
		Start:  row.Report.Start,
		Domain: row.Instance.Domain,
	}
}
