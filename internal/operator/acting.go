package operator

import (
	"context"
	"errors"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// act carries out the operations of a request in one act.
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
		change.Operations = append(change.Operations, operationOf(operation))
	}
	receipt, err := s.config.Spreader.Act(ctx, change)
	return receiptMessage(request.GetId(), receipt, err), nil
}

// withdraw ends what the request names. Names that this instance does not
// know are refused unless forced: they are most likely misspelt.
func (s *Server) withdraw(ctx context.Context, request *operatorpb.WithdrawRequest) (*operatorpb.Receipt, error) {
	if len(request.GetWithdrawals()) == 0 {
		return nil, &Malformed{
			What: "a withdrawal of nothing",
		}
	}
	var withdrawals []configurator.Withdrawal
	for _, named := range request.GetWithdrawals() {
		withdrawal := configurator.Withdrawal{
			Subject:  configurator.Subject(named.GetSubject()),
			Name:     named.GetName(),
			At:       s.config.Now(),
			Operator: operatorName(ctx),
		}
		if !request.GetForce() && !s.config.Spreader.Current().Known(withdrawal) {
			return receiptMessage("", spreader.Receipt{}, &configurator.NotFound{
				Kind: configurator.Kind(withdrawal.Subject),
				Name: withdrawal.Name,
			}), nil
		}
		withdrawals = append(withdrawals, withdrawal)
	}
	receipt, err := s.config.Spreader.Withdraw(ctx, withdrawals...)
	return receiptMessage(receipt.ID, receipt, err), nil
}

// importFile withdraws what the file says is withdrawn, then puts its records.
func (s *Server) importFile(ctx context.Context, request *operatorpb.ImportRequest) (*operatorpb.Receipt, error) {
	archive, err := configurator.DecodeArchive(request.GetFile())
	if err != nil {
		return receiptMessage(request.GetId(), spreader.Receipt{}, err), nil
	}
	if len(archive.Withdrawals) > 0 {
		if _, err := s.config.Spreader.Withdraw(ctx, archive.Withdrawals...); err != nil {
			return receiptMessage(request.GetId(), spreader.Receipt{}, err), nil
		}
	}
	receipt, err := s.config.Spreader.Act(ctx, configurator.Change{
		ID:         request.GetId(),
		Operator:   operatorName(ctx),
		At:         s.config.Now(),
		Operations: archive.Operations(),
	})
	return receiptMessage(request.GetId(), receipt, err), nil
}

func receiptMessage(id string, receipt spreader.Receipt, err error) *operatorpb.Receipt {
	if err != nil {
		return failureMessage(id, err)
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

func failureMessage(id string, err error) *operatorpb.Receipt {
	failure := &operatorpb.Receipt{
		Outcome: operatorpb.Outcome_OUTCOME_REFUSED,
		Id:      id,
		Reason:  err.Error(),
		Code:    codeOf(err),
	}
	var unknown *spreader.UnknownOutcome
	if errors.As(err, &unknown) {
		failure.Outcome = operatorpb.Outcome_OUTCOME_UNKNOWN
	}
	return failure
}

// The codes of a refusal.
const (
	// CodeNotFound acts name a record that does not exist.
	CodeNotFound = "notfound"
	// CodeUsed acts create a name that was used before.
	CodeUsed = "used"
	// CodeInvalid acts hold a value that is not allowed.
	CodeInvalid = "invalid"
	// CodeInUse acts remove a record that another needs.
	CodeInUse = "inuse"
	// CodeTooLarge acts make a document too large.
	CodeTooLarge = "toolarge"
	// CodeReused acts have the identity of a different act.
	CodeReused = "reused"
	// CodeContended acts lost against others every time.
	CodeContended = "contended"
	// CodeUnavailable acts could not reach the platform's store or a ready instance.
	CodeUnavailable = "unavailable"
)

func codeOf(err error) string {
	switch {
	case holds[*configurator.NotFound](err):
		return CodeNotFound
	case holds[*configurator.AlreadyUsed](err):
		return CodeUsed
	case holds[*configurator.Invalid](err), holds[*configurator.Malformed](err):
		return CodeInvalid
	case holds[*configurator.InUse](err):
		return CodeInUse
	case holds[*configurator.TooLarge](err):
		return CodeTooLarge
	case holds[*spreader.Reused](err):
		return CodeReused
	case holds[*spreader.Contended](err):
		return CodeContended
	}
	return CodeUnavailable
}

func holds[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
