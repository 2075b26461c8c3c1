package tracker

import (
	"net/netip"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker/trackerpb"
)

// Malformed reports a message that cannot be decoded.
type Malformed struct {
	// Topic is the message's topic.
	Topic string
	// Cause is the decoder's error, or nil.
	Cause error
}

// Error implements error.
func (e *Malformed) Error() string { return "malformed message of topic " + e.Topic }

// Unwrap returns the decoder's error.
func (e *Malformed) Unwrap() error { return e.Cause }

// states maps the states of the wire format.
var states = map[trackerpb.State]State{
	trackerpb.State_ALIVE:   Alive,
	trackerpb.State_SUSPECT: Suspect,
	trackerpb.State_LEAVING: Leaving,
	trackerpb.State_DEAD:    Dead,
}

func encodeState(state State) trackerpb.State {
	return trackerpb.State(int32(state.rank()))
}

func encode(member Member) *trackerpb.Update {
	address, err := member.Peer.Address.MarshalBinary()
	if err != nil {
		address = nil
	}
	return &trackerpb.Update{
		Name:        member.Peer.Name,
		Domain:      member.Domain,
		Address:     address,
		Incarnation: member.Incarnation,
		Counter:     member.Counter,
		State:       encodeState(member.State),
	}
}

func encodeAll(members []Member) []*trackerpb.Update {
	updates := make([]*trackerpb.Update, 0, len(members))
	for _, member := range members {
		updates = append(updates, encode(member))
	}
	return updates
}

// decode returns the member, or false if the update is not usable.
func decode(update *trackerpb.Update) (Member, bool) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(update.GetAddress()); err != nil || !address.IsValid() {
		return Member{}, false
	}
	state, ok := states[update.GetState()]
	if !ok || update.GetIncarnation() == 0 {
		return Member{}, false
	}
	return Member{
		Peer: messenger.Peer{
			Name:    update.GetName(),
			Address: address,
		},
		Domain:      update.GetDomain(),
		Incarnation: update.GetIncarnation(),
		Counter:     update.GetCounter(),
		State:       state,
	}, true
}
