package queuer

import (
	"time"

	"github.com/buckthorngap/buckthorngap/pkg/refuser"
)

// refuseDeadline refuses a request whose deadline has passed.
func refuseDeadline() *refuser.Refusal {
	return &refuser.Refusal{
		Code:    refuser.CodeDeadline,
		Outcome: refuser.NotRun,
		Detail:  "the deadline passed before the request could be started",
	}
}

// refuseBusy refuses a request that the queue has no capacity for.
func refuseBusy(detail string, retry time.Time) *refuser.Refusal {
	return &refuser.Refusal{
		Code:    refuser.CodeBusy,
		Outcome: refuser.NotRun,
		Detail:  detail,
		RetryAt: retry,
	}
}
