// Package faulter holds the faults that an emulator injects. Tests set them
// with a control request.
package faulter

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults that emulators can inject.
const (
	// Slow delays an answer.
	Slow Kind = "slow"
	// Die makes an engine crash in the middle of a load.
	Die Kind = "die"
	// Late delays the execution of an order, so that its sender may give up before it.
	Late Kind = "late"
	// Cut breaks the connection before the request runs.
	Cut Kind = "cut"
	// Lost breaks the connection after the request ran or after some tokens of its answer.
	Lost Kind = "lost"
	// Crossed makes an answer carry the identity of another request.
	Crossed Kind = "crossed"
	// Refuse refuses a request or order without running it.
	Refuse Kind = "refuse"
	// Fail answers with status 500.
	Fail Kind = "fail"
	// Limit makes answers state a limit on the requests of all instances together. The limit is not enforced.
	Limit Kind = "limit"
	// Deadly makes an engine crash as it begins to answer a prompt that holds a text, and a service as it runs a call whose
	// body does.
	Deadly Kind = "deadly"
)

// headerRateLimit is the header field of the product's protocol that states a limit in requests per second.
const headerRateLimit = "X-Rate-Limit"

// Fault is one fault for an emulator to inject.
type Fault struct {
	// Kind is the fault's kind.
	Kind Kind `json:"kind"`
	// Count is the number of times to inject it; 0 disarms the fault, -1 means without limit.
	Count int `json:"count"`
	// Each injects the fault only at every Each-th opportunity; 0 and 1 mean at every one.
	Each int `json:"each,omitempty"`
	// After is the number of tokens that Lost lets through before the connection breaks.
	After int `json:"after,omitempty"`
	// Delay is the delay of Slow and Late, in milliseconds.
	Delay int `json:"delay,omitempty"`
	// Rate is the limit that Limit states, in requests per second.
	Rate float64 `json:"rate,omitempty"`
	// Pause is the time for which Refuse wants no requests, in seconds; 0 states none.
	Pause int `json:"pause,omitempty"`
	// Text is the text of Deadly.
	Text string `json:"text,omitempty"`
}

// Duration returns Delay as a time.Duration.
func (f Fault) Duration() time.Duration { return time.Duration(f.Delay) * time.Millisecond }

// armedFault is a fault with its remaining count, and the number of opportunities
// to inject it so far.
type armedFault struct {
	fault         Fault
	opportunities int
}

// Faulter holds at most one armed fault of each kind.
type Faulter struct {
	mu     sync.Mutex
	faults map[Kind]*armedFault
}

// New returns a Faulter without faults.
func New() *Faulter {
	return &Faulter{
		faults: map[Kind]*armedFault{},
	}
}

// Set arms a fault and replaces any other of its kind.
func (f *Faulter) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[fault.Kind] = &armedFault{
		fault: fault,
	}
}

// Take counts an opportunity to inject a fault of that kind. If it is to be
// injected now, Take decrements its count, if limited, and returns the fault and true.
func (f *Faulter) Take(kind Kind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	armed, ok := f.faults[kind]
	if !ok || armed.fault.Count == 0 {
		return Fault{}, false
	}
	armed.opportunities++
	if armed.fault.Each > 1 && armed.opportunities%armed.fault.Each != 0 {
		return Fault{}, false
	}
	if armed.fault.Count > 0 {
		armed.fault.Count--
	}
	return armed.fault, true
}

// Deadly reports whether Deadly is armed with a text that the prompt holds, and counts it.
func (f *Faulter) Deadly(prompt string) bool {
	f.mu.Lock()
	armed, ok := f.faults[Deadly]
	holds := ok && armed.fault.Text != "" && strings.Contains(prompt, armed.fault.Text)
	f.mu.Unlock()
	if !holds {
		return false
	}
	_, ok = f.Take(Deadly)
	return ok
}

// StateLimit adds the limit to the header of an answer if Limit is armed.
func (f *Faulter) StateLimit(header http.Header) {
	if fault, ok := f.Take(Limit); ok {
		header.Set(headerRateLimit, strconv.FormatFloat(fault.Rate, 'g', -1, 64))
	}
}

// StatePause adds the time of a refusal to the header of its answer, if it has one.
func (f Fault) StatePause(header http.Header) {
	if f.Pause > 0 {
		header.Set("Retry-After", strconv.Itoa(f.Pause))
	}
}

// ServeHTTP arms the fault in a request's body.
func (f *Faulter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
	w.WriteHeader(http.StatusNoContent)
}
