package operator

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
)

// wrapCallError wraps the error of the named call in *CallFailed; it returns nil if err is nil.
func wrapCallError(call string, err error) error {
	if err == nil {
		return nil
	}
	return &CallFailed{
		Call:  call,
		Cause: err,
	}
}

// receiptFromProto converts the response to an act, or the error of its call, to the client's result. A failed call may
// have taken effect, so it counts as *UnknownOutcome, unless the server denied it or found it malformed.
func receiptFromProto(id string, receipt *operatorpb.Receipt, err error) (spreader.Receipt, error) {
	code := status.Code(err)
	if code == codes.PermissionDenied || code == codes.InvalidArgument {
		return spreader.Receipt{}, wrapCallError(callAct, err)
	}
	if err != nil {
		return spreader.Receipt{}, &UnknownOutcome{
			ID:    id,
			Cause: err,
		}
	}
	refusal := &Refused{
		Code:   receipt.GetCode(),
		Reason: receipt.GetReason(),
	}
	switch receipt.GetOutcome() {
	case operatorpb.Outcome_OUTCOME_REFUSED:
		return spreader.Receipt{}, refusal
	case operatorpb.Outcome_OUTCOME_ACCEPTED:
		return spreader.Receipt{
			ID:       receipt.GetId(),
			Revision: receipt.GetRevision(),
			InForce:  int(receipt.GetInForce()),
			Members:  int(receipt.GetMembers()),
			Missing:  receipt.GetMissing(),
			Durable:  receipt.GetDurable(),
			Repeated: receipt.GetRepeated(),
		}, nil
	}
	return spreader.Receipt{}, &UnknownOutcome{
		ID:    id,
		Cause: refusal,
	}
}
