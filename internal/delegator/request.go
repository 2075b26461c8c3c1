package delegator

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/holder"
)

// Request is a request to the holder of a duty.
type Request struct {
	// Domain is the failure domain that the duty belongs to.
	Domain string
	// Duty is the duty's name, and Number its index within the domain.
	Duty   string
	Number int
	// Forwarded is set if the request must not be passed on.
	Forwarded bool
	// Encode returns the message that asks a peer; forwarded is set if the peer must not pass it on.
	Encode func(forwarded bool) ([]byte, error)
	// Refused reports whether an answer of an instance of another domain is no reason not to ask the next one; nil
	// means that every answer is final.
	Refused func(answer []byte) bool
	// Serve answers the request as the holder of the duty.
	Serve func(ctx context.Context, term holder.Fence) ([]byte, error)
}
