package holder

import (
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/holder/holderpb"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// Owner is the holding of a duty by an instance, as known here.
type Owner struct {
	// Peer is the instance that holds the duty.
	Peer messenger.Peer
	// Epoch is the holding's fencing token.
	Epoch uint64
	// Incarnation is the instance's incarnation.
	Incarnation uint64

	// vacant is set once the holder has given the duty up.
	vacant bool
}

func (o Owner) encode(duty string) *holderpb.Holding {
	address, err := o.Peer.Address.MarshalBinary()
	if err != nil {
		address = nil
	}
	return &holderpb.Holding{
		Duty:        duty,
		Epoch:       o.Epoch,
		Name:        o.Peer.Name,
		Address:     address,
		Incarnation: o.Incarnation,
		Vacant:      o.vacant,
	}
}

// decodeOwner decodes a holding. It returns false if the name, the address or the epoch is missing.
func decodeOwner(holding *holderpb.Holding) (Owner, bool) {
	var address netip.AddrPort
	err := address.UnmarshalBinary(holding.GetAddress())
	if err != nil || holding.GetName() == "" || holding.GetEpoch() == 0 {
		return Owner{}, false
	}
	return Owner{
		Peer: messenger.Peer{
			Name:    holding.GetName(),
			Address: address,
		},
		Epoch:       holding.GetEpoch(),
		Incarnation: holding.GetIncarnation(),
		vacant:      holding.GetVacant(),
	}, true
}

// sameHolding reports whether both are the same holding.
func (o Owner) sameHolding(other Owner) bool {
	return o.Epoch == other.Epoch && o.Peer.Name == other.Peer.Name && o.Incarnation == other.Incarnation
}
