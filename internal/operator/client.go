package operator

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/internal/spreader"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the address on which the instance serves operators.
	Address netip.AddrPort
	// TLS must present an operator's certificate.
	TLS *tls.Config
}

// Client calls the operators' service of one instance.
type Client struct {
	connection *grpc.ClientConn
	stub       operatorpb.OperatorClient
}

// Dial returns a Client, which connects on its first call. gRPC's own retries are disabled. The error is *CallFailed if
// the configuration cannot be used.
func Dial(config ClientConfig) (*Client, error) {
	connection, err := grpc.NewClient(
		"passthrough:///"+config.Address.String(),
		grpc.WithTransportCredentials(credentials.NewTLS(config.TLS)),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
	if err != nil {
		return nil, &CallFailed{
			Call:  "dial",
			Cause: err,
		}
	}
	return &Client{
		connection: connection,
		stub:       operatorpb.NewOperatorClient(connection),
	}, nil
}

// Close closes the connection. It returns the transport's error.
func (c *Client) Close() error { return c.connection.Close() }

// Act applies the operations atomically, as one act. After *UnknownOutcome the act must be repeated with the same id, so
// that it is applied at most once. *Refused means that it had no effect. *CallFailed reports a call that was denied or
// malformed.
func (c *Client) Act(
	ctx context.Context, id string, operations ...configurator.Operation,
) (spreader.Receipt, error) {
	request := &operatorpb.ActRequest{
		Id: id,
	}
	for _, operation := range operations {
		request.Operations = append(request.Operations, operationToProto(operation))
	}
	receipt, err := c.stub.Act(ctx, request)
	return receiptFromProto(id, receipt, err)
}

// Withdraw permanently invalidates keys, versions, adapters or batches. Force also withdraws names that the instance does
// not know. Withdrawals are idempotent. The errors are those of Act.
func (c *Client) Withdraw(
	ctx context.Context, force bool, withdrawals ...configurator.Withdrawal,
) (spreader.Receipt, error) {
	request := &operatorpb.WithdrawRequest{
		Force: force,
	}
	for _, withdrawal := range withdrawals {
		request.Withdrawals = append(request.Withdrawals, &operatorpb.Withdrawal{
			Subject: string(withdrawal.Subject),
			Name:    withdrawal.Name,
		})
	}
	receipt, err := c.stub.Withdraw(ctx, request)
	return receiptFromProto("", receipt, err)
}

// Import applies the withdrawals of an exported file, then puts all its records in one act. The errors are those of Act.
func (c *Client) Import(ctx context.Context, id string, file []byte) (spreader.Receipt, error) {
	receipt, err := c.stub.Import(ctx, &operatorpb.ImportRequest{
		Id:   id,
		File: file,
	})
	return receiptFromProto(id, receipt, err)
}

// Export returns the full configuration as one file in the format that Import reads. The error is *CallFailed.
func (c *Client) Export(ctx context.Context) ([]byte, error) {
	answer, err := c.stub.Export(ctx, &operatorpb.ExportRequest{})
	return answer.GetFile(), wrapCallError(callExport, err)
}

// Dump returns the state of the named instance as JSON; an empty name means the instance that serves the call. The error
// is *CallFailed.
func (c *Client) Dump(ctx context.Context, name string) ([]byte, error) {
	answer, err := c.stub.Dump(ctx, &operatorpb.DumpRequest{
		Name: name,
	})
	return answer.GetState(), wrapCallError(callDump, err)
}

// List returns at most limit records of one kind, skipping the first offset ones. The error is *CallFailed.
func (c *Client) List(ctx context.Context, kind configurator.Kind, offset, limit int) (Page, error) {
	answer, err := c.stub.List(ctx, &operatorpb.ListRequest{
		Kind:   string(kind),
		Offset: int32(offset),
		Limit:  int32(limit),
	})
	if err != nil {
		return Page{}, wrapCallError(callList, err)
	}
	page := Page{
		Revision: answer.GetRevision(),
		More:     answer.GetMore(),
	}
	for _, record := range answer.GetRecords() {
		page.Records = append(page.Records, Record{
			Operation: recordFromProto(record),
			Withdrawn: record.GetWithdrawn(),
		})
	}
	return page, nil
}

// History returns recent acts and all withdrawals, oldest first. The error is *CallFailed.
func (c *Client) History(ctx context.Context) ([]HistoryAct, error) {
	answer, err := c.stub.History(ctx, &operatorpb.HistoryRequest{})
	if err != nil {
		return nil, wrapCallError(callHistory, err)
	}
	var acts []HistoryAct
	for _, act := range answer.GetActs() {
		acts = append(acts, HistoryAct{
			ID:         act.GetId(),
			Operator:   act.GetOperator(),
			At:         time.Unix(0, act.GetAt()).UTC(),
			Revision:   act.GetRevision(),
			Operations: act.GetOperations(),
			Count:      int(act.GetCount()),
		})
	}
	return acts, nil
}
