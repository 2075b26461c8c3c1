package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Row describes one suspect in a state dump.
type Row struct {
	// Part is the hash of the part's name, or of the request as a whole, as in the log.
	Part string `json:"part"`
	// Whole is set if Part is that of a request as a whole.
	Whole bool `json:"whole,omitempty"`
	// Crashes is the number of crashes that count against the part.
	Crashes int `json:"crashes"`
	// Last is when an engine last crashed under it.
	Last time.Time `json:"last"`
	// Sound is when an engine last began to answer a prompt with the part.
	Sound time.Time `json:"sound"`
	// Common are the parts that all prompts with it had in common at the crashes.
	Common []string `json:"common"`
	// Held is set while prompts with all of Common that are not sound by themselves are refused.
	Held bool `json:"held"`
	// Until is the end of the last quarantine.
	Until time.Time `json:"until"`
}

// Dump returns the suspects for operators, sorted by part.
func (q *Quarantiner) Dump() any {
	now := q.config.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	rows := make([]Row, 0, len(q.suspects))
	for _, s := range q.suspects {
		row := Row{
			Part:    formatPart(s.part),
			Whole:   s.whole,
			Crashes: len(s.counted(now)),
			Last:    s.lastCrash(),
			Sound:   s.soundAt,
			Held:    s.held(now),
			Until:   s.until,
		}
		for _, part := range s.common {
			row.Common = append(row.Common, formatPart(part))
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Part, b.Part) })
	return rows
}
