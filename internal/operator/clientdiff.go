package operator

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
)

// Diff returns the records that differ between two revisions; zero as the newer one means the current revision. An
// instance retains only a few dozen revisions. The error is *CallFailed.
func (c *Client) Diff(ctx context.Context, from, to uint64) ([]configurator.Difference, error) {
	return c.diff(ctx, &operatorpb.DiffRequest{
		From: from,
		To:   to,
	})
}

// DiffFile returns the records that changed since the file was exported. The error is *CallFailed.
func (c *Client) DiffFile(ctx context.Context, file []byte) ([]configurator.Difference, error) {
	return c.diff(ctx, &operatorpb.DiffRequest{
		File: file,
	})
}

func (c *Client) diff(ctx context.Context, request *operatorpb.DiffRequest) ([]configurator.Difference, error) {
	answer, err := c.stub.Diff(ctx, request)
	if err != nil {
		return nil, wrapCallError(callDiff, err)
	}
	var differences []configurator.Difference
	for _, difference := range answer.GetDifferences() {
		differences = append(differences, configurator.Difference{
			Kind:   configurator.Kind(difference.GetKind()),
			Name:   difference.GetName(),
			Before: difference.GetBefore(),
			After:  difference.GetAfter(),
		})
	}
	return differences, nil
}
