package holder

import (
	"encoding/json"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// maxFormers limits the number of former holders in a record.
const maxFormers = 8

// record is the stored state of a duty. It is not bound to a lease, so it outlives every term.
type record struct {
	Holding
	// Identity identifies the claim that wrote the record.
	Identity string `json:"identity"`
	// Formers are the former holders that might still have been able to act when the record was
	// written.
	Formers []Holding `json:"formers,omitempty"`
}

// formers returns the holders that the next claimant must check, the latest first.
func (r record) formers() []Holding {
	if r.Epoch == 0 {
		return nil
	}
	formers := append([]Holding{r.Holding}, r.Formers...)
	return formers[:min(len(formers), maxFormers)]
}

func decodeRecord(entry storer.Entry) (record, error) {
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return record{}, &Malformed{
			What:  "duty record " + entry.Key,
			Cause: err,
		}
	}
	return r, nil
}

func prefix(domain, duty string) string    { return "duties/" + domain + "/" + duty + "/" }
func recordKey(domain, duty string) string { return prefix(domain, duty) + "record" }
func lockKey(domain, duty string) string   { return prefix(domain, duty) + "lock" }
