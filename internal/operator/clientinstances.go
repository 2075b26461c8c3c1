package operator

import (
	"context"
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/operator/operatorpb"
)

// Instances returns what the called instance knows about all instances. The error is *CallFailed.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	answer, err := c.stub.Instances(ctx, &operatorpb.InstancesRequest{})
	if err != nil {
		return nil, wrapCallError(callInstances, err)
	}
	var instances []Instance
	for _, instance := range answer.GetInstances() {
		address, err := netip.ParseAddrPort(instance.GetAddress())
		if err != nil {
			return nil, wrapCallError(callInstances, err)
		}
		instances = append(instances, Instance{
			Name:     instance.GetName(),
			Domain:   instance.GetDomain(),
			Address:  address,
			State:    instance.GetState(),
			Revision: instance.GetRevision(),
		})
	}
	return instances, nil
}
