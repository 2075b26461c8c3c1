package holder

import (
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
)

// Holding is one instance's holding of a duty, as stored in a record.
type Holding struct {
	// Epoch is the holding's fencing token.
	Epoch uint64 `json:"epoch"`
	// Holder is the instance's name.
	Holder string `json:"holder"`
	// Address is where the instance listens.
	Address netip.AddrPort `json:"address"`
	// Incarnation is the instance's incarnation.
	Incarnation uint64 `json:"incarnation"`
}

func (h Holding) owner() Owner {
	return Owner{
		Peer: messenger.Peer{
			Name:    h.Holder,
			Address: h.Address,
		},
		Epoch:       h.Epoch,
		Incarnation: h.Incarnation,
	}
}

func holdingOf(owner Owner) Holding {
	return Holding{
		Epoch:       owner.Epoch,
		Holder:      owner.Peer.Name,
		Address:     owner.Peer.Address,
		Incarnation: owner.Incarnation,
	}
}
