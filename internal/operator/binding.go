package operator

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
)

// binding implements the generated service interface by passing each call to its go-kit handler.
type binding struct {
	server *Server
}

// dispatch runs the go-kit handler of the named call and returns its typed answer.
func dispatch[Answer any](ctx context.Context, b *binding, name string, request any) (Answer, error) {
	_, answer, err := b.server.handlers[name].ServeGRPC(ctx, request)
	typed, _ := answer.(Answer)
	return typed, err
}

// Act implements operatorpb.OperatorServer.
func (b *binding) Act(ctx context.Context, request *operatorpb.ActRequest) (*operatorpb.Receipt, error) {
	return dispatch[*operatorpb.Receipt](ctx, b, callAct, request)
}

// Withdraw implements operatorpb.OperatorServer.
func (b *binding) Withdraw(ctx context.Context, request *operatorpb.WithdrawRequest) (*operatorpb.Receipt, error) {
	return dispatch[*operatorpb.Receipt](ctx, b, callWithdraw, request)
}

// List implements operatorpb.OperatorServer.
func (b *binding) List(ctx context.Context, request *operatorpb.ListRequest) (*operatorpb.ListAnswer, error) {
	return dispatch[*operatorpb.ListAnswer](ctx, b, callList, request)
}

// History implements operatorpb.OperatorServer.
func (b *binding) History(ctx context.Context, request *operatorpb.HistoryRequest) (*operatorpb.HistoryAnswer, error) {
	return dispatch[*operatorpb.HistoryAnswer](ctx, b, callHistory, request)
}

// Diff implements operatorpb.OperatorServer.
func (b *binding) Diff(ctx context.Context, request *operatorpb.DiffRequest) (*operatorpb.DiffAnswer, error) {
	return dispatch[*operatorpb.DiffAnswer](ctx, b, callDiff, request)
}

// Export implements operatorpb.OperatorServer.
func (b *binding) Export(ctx context.Context, request *operatorpb.ExportRequest) (*operatorpb.ExportAnswer, error) {
	return dispatch[*operatorpb.ExportAnswer](ctx, b, callExport, request)
}

// Import implements operatorpb.OperatorServer.
func (b *binding) Import(ctx context.Context, request *operatorpb.ImportRequest) (*operatorpb.Receipt, error) {
	return dispatch[*operatorpb.Receipt](ctx, b, callImport, request)
}

// Instances implements operatorpb.OperatorServer.
func (b *binding) Instances(
	ctx context.Context, request *operatorpb.InstancesRequest,
) (*operatorpb.InstancesAnswer, error) {
	return dispatch[*operatorpb.InstancesAnswer](ctx, b, callInstances, request)
}

// Dump implements operatorpb.OperatorServer.
func (b *binding) Dump(ctx context.Context, request *operatorpb.DumpRequest) (*operatorpb.DumpAnswer, error) {
	return dispatch[*operatorpb.DumpAnswer](ctx, b, callDump, request)
}
