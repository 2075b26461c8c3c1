package enlister

import (
	"encoding/json"
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/lister"
	"github.com/buckthorngap/buckthorngap/internal/reporter"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// entry is the stored value of an instance's entry.
type entry struct {
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	Share   float64        `json:"share,omitempty"`
}

// Decode decodes an instance's entry. It suits lister.Config.Decode. It returns *Unreadable if the
// entry is not valid.
func Decode(stored storer.Entry) (lister.Row, error) {
	var decoded entry
	if err := json.Unmarshal(stored.Value, &decoded); err != nil {
		return lister.Row{}, &Unreadable{
			Cause: err,
		}
	}
	if !decoded.Address.IsValid() || decoded.Domain == "" {
		return lister.Row{}, &Unreadable{}
	}
	return lister.Row{
		Instance: storer.Instance{
			Domain:  decoded.Domain,
			Role:    storer.RoleEntry,
			Address: decoded.Address,
			Cores:   max(0, decoded.Share),
		},
		Report: reporter.Report{
			Sequence: uint64(stored.Revision),
		},
	}, nil
}
