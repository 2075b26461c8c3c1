package operator

import (
	"context"
	"errors"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// act handles the Act call: it applies all operations of the request atomically, as one change.
func (s *Server) act(ctx context.Context, request *operatorpb.ActRequest) (*operatorpb.Receipt, error) {
	if len(request.GetOperations()) == 0 {
		return nil, &Malformed{
			What: "an act without operations",
		}
	}
	change := configurator.Change{
		ID:       request.GetId(),
		Operator: operatorName(ctx),
		At:       s.config.Now(),
	}
	for _, operation := range request.GetOperations() {
		change.Operations = append(change.Operations, operationFromProto(operation))
	}
	receipt, err := s.config.Spreader.Act(ctx, change)
	return receiptToProto(request.GetId(), receipt, err), nil
}

// withdraw handles the Withdraw call. Names unknown to this instance are refused unless the request forces them, since
// they are most likely misspelt.
func (s *Server) withdraw(ctx context.Context, request *operatorpb.WithdrawRequest) (*operatorpb.Receipt, error) {
	if len(request.GetWithdrawals()) == 0 {
		return nil, &Malformed{
			What: "a withdrawal of nothing",
		}
	}
	var withdrawals []configurator.Withdrawal
	for _, message := range request.GetWithdrawals() {
		withdrawal := configurator.Withdrawal{
			Subject:  configurator.Subject(message.GetSubject()),
			Name:     message.GetName(),
			At:       s.config.Now(),
			Operator: operatorName(ctx),
		}
		if !request.GetForce() && !s.config.Spreader.Current().RecordExists(withdrawal) {
			return receiptToProto("", spreader.Receipt{}, &configurator.NotFound{
				Kind: configurator.Kind(withdrawal.Subject),
				Name: withdrawal.Name,
			}), nil
		}
		withdrawals = append(withdrawals, withdrawal)
	}
	receipt, err := s.config.Spreader.Withdraw(ctx, withdrawals...)
	return receiptToProto(receipt.ID, receipt, err), nil
}

// importFile handles the Import call: it first applies the withdrawals of the exported file, then puts its records in
// one act. Only the act is identified by the ID of the request; an error after the first step leaves the withdrawals in
// effect.
func (s *Server) importFile(ctx context.Context, request *operatorpb.ImportRequest) (*operatorpb.Receipt, error) {
	archive, err := configurator.DecodeArchive(request.GetFile())
	if err != nil {
		return receiptToProto(request.GetId(), spreader.Receipt{}, err), nil
	}
	if len(archive.Withdrawals) > 0 {
		if _, err := s.config.Spreader.Withdraw(ctx, archive.Withdrawals...); err != nil {
			return receiptToProto(request.GetId(), spreader.Receipt{}, err), nil
		}
	}
	receipt, err := s.config.Spreader.Act(ctx, configurator.Change{
		ID:         request.GetId(),
		Operator:   operatorName(ctx),
		At:         s.config.Now(),
		Operations: archive.Operations(),
	})
	return receiptToProto(request.GetId(), receipt, err), nil
}

// receiptToProto returns the response to an act, or the one built by failureToProto if err is not nil.
func receiptToProto(id string, receipt spreader.Receipt, err error) *operatorpb.Receipt {
	if err != nil {
		return failureToProto(id, err)
	}
	return &operatorpb.Receipt{
		Outcome:  operatorpb.Outcome_OUTCOME_ACCEPTED,
		Id:       id,
		Revision: receipt.Revision,
		InForce:  int32(receipt.InForce),
		Members:  int32(receipt.Members),
		Missing:  receipt.Missing,
		Durable:  receipt.Durable,
		Repeated: receipt.Repeated,
	}
}

// failureToProto returns the response to a failed act. The outcome is unknown only after *spreader.UnknownOutcome; all
// other errors guarantee that the act had no effect.
func failureToProto(id string, err error) *operatorpb.Receipt {
	receipt := &operatorpb.Receipt{
		Outcome: operatorpb.Outcome_OUTCOME_REFUSED,
		Id:      id,
		Reason:  err.Error(),
		Code:    errorCode(err),
	}
	var unknown *spreader.UnknownOutcome
	if errors.As(err, &unknown) {
		receipt.Outcome = operatorpb.Outcome_OUTCOME_UNKNOWN
	}
	return receipt
}

// The machine-readable codes of a refused act, see Refused.
const (
	// CodeNotFound is for acts that name a record that does not exist.
	CodeNotFound = "notfound"
	// CodeUsed is for acts that create a record under a name that was used before.
	CodeUsed = "used"
	// CodeInvalid is for acts with a value that is not allowed.
	CodeInvalid = "invalid"
	// CodeInUse is for acts that remove a record that another record refers to.
	CodeInUse = "inuse"
	// CodeTooLarge is for acts that would make a stored document too large.
	CodeTooLarge = "toolarge"
	// CodeReused is for acts whose identity belongs to a different act.
	CodeReused = "reused"
	// CodeContended is for acts whose every attempt to write lost against a concurrent act.
	CodeContended = "contended"
	// CodeUnavailable is for acts that could not reach the platform's store or a ready instance.
	CodeUnavailable = "unavailable"
)

// errorCode maps an error of an act to the code of its refusal; any other error counts as CodeUnavailable.
func errorCode(err error) string {
	switch {
	case wraps[*configurator.NotFound](err):
		return CodeNotFound
	case wraps[*configurator.AlreadyUsed](err):
		return CodeUsed
	case wraps[*configurator.Invalid](err), wraps[*configurator.Malformed](err):
		return CodeInvalid
	case wraps[*configurator.InUse](err):
		return CodeInUse
	case wraps[*configurator.TooLarge](err):
		return CodeTooLarge
	case wraps[*spreader.Reused](err):
		return CodeReused
	case wraps[*spreader.Contended](err):
		return CodeContended
	}
	return CodeUnavailable
}

// wraps reports whether err or an error that it wraps has type T.
func wraps[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
