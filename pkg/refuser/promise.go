package refuser

import "net/http"

// PromisesNotRun reports whether callers take an HTTP status as the promise that their request has not run and never will, so that
// they may send any request again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the HTTP status under which an answer with the given one may be sent to the caller of a request with this outcome, whoever
// wrote the answer: a status that promises that the request has not run becomes 502 unless that is known.
func (o Outcome) Status(status int) int {
	if o != NotRun && PromisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}
