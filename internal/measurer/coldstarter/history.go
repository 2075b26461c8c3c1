package coldstarter

import (
	"time"

	"github.com/buckthorngap/buckthorngap/internal/placer"
)

const (
	// historyDays is the number of days before the simulated one from which placers
	// have learned.
	historyDays = 5
	// historySpan is the simulated time of each of those days.
	historySpan = 3 * time.Hour
)

// history returns the encoded recurrence of each domain, which is a placer's
// record of daily recurring demand, as the placer would have stored it after the
// previous days. Each of those days has its own requests; only the recurring ones
// are the same.
func (s Site) history() [][]byte {
	learners := make([]*placer.Recurrence, len(domainNames))
	for domain := range learners {
		learners[domain] = placer.NewRecurrence()
	}
	for past := range historyDays {
		begins := epoch.Add(-day * time.Duration(historyDays-past))
		requests := s.arrivalsOn(uint64(past)+1, historySpan)
		for at := time.Duration(0); at < historySpan; at += time.Minute / 2 {
			for _, r := range learners {
				r.StartMinute(begins.Add(at))
			}
			for len(requests) > 0 && requests[0].at < at+time.Minute/2 {
				learners[requests[0].domain].Observe(modelName(requests[0].model), begins.Add(requests[0].at))
				requests = requests[1:]
			}
		}
	}
	return encodeRecurrences(learners)
}

// encodeRecurrences encodes the recurrences. One that cannot be encoded yields nil,
// with which a placer starts without history.
func encodeRecurrences(learners []*placer.Recurrence) [][]byte {
	encoded := make([][]byte, len(learners))
	for i, r := range learners {
		encoded[i], _ = r.Encode()
	}
	return encoded
}
