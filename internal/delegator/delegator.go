// Package delegator passes requests to the holders of duties, in this and in other failure domains.
package delegator

import (
	"context"

	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
)

// Config configures a Delegator.
type Config struct {
	// Self is this instance's name and failure domain.
	Self messenger.Sender
	// Topic is the topic of the messages.
	Topic string
	// Term returns this instance's term of a duty, if it may act under it now.
	Term func(duty string) (holder.Fence, bool)
	// Owner returns the holder of a duty of this failure domain, as far as it is known.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// LiveMembers returns the live instances of a failure domain except this one.
	LiveMembers func(domain string) []tracker.Member
	// Call sends a message.
	Call messenger.Caller
}

// Delegator passes requests of one topic to the holders of duties.
type Delegator struct {
	config Config
}

// New returns a Delegator.
func New(config Config) *Delegator {
	return &Delegator{
		config: config,
	}
}

// Send has the holder of the duty answer a request: directly within this failure domain, and through an
// instance of the other domain otherwise, since Config.Owner covers only this domain. It returns *NoHolder
// or the error of the last call.
func (d *Delegator) Send(ctx context.Context, r Request) ([]byte, error) {
	if r.Domain == d.config.Self.Domain {
		return d.ServeOrForward(ctx, r)
	}
	var answer []byte
	var err error = &NoHolder{
		Duty: r.Duty,
	}
	for _, peer := range d.contacts(r) {
		answer, err = d.call(ctx, peer, r, false)
		answered := err == nil && (r.Refused == nil || !r.Refused(answer))
		if answered || ctx.Err() != nil {
			break
		}
	}
	return answer, err
}

// ServeOrForward answers a request if this instance holds the duty, and otherwise passes it to the holder,
// unless it was passed on before. It returns *NoHolder or the error of the call.
func (d *Delegator) ServeOrForward(ctx context.Context, r Request) ([]byte, error) {
	if term, ok := d.config.Term(r.Duty); ok {
		return r.Serve(ctx, term)
	}
	owner, _, ok := d.config.Owner(r.Duty)
	if !ok || r.Forwarded || owner.Name == d.config.Self.Name {
		return nil, &NoHolder{
			Duty: r.Duty,
		}
	}
	return d.call(ctx, owner, r, true)
}

// call sends a request to a peer; forwarded is set if the peer must not pass it on.
func (d *Delegator) call(ctx context.Context, peer messenger.Peer, r Request, forwarded bool) ([]byte, error) {
	payload, err := r.Encode(forwarded)
	if err != nil {
		return nil, err
	}
	return d.config.Call(ctx, peer, d.config.Topic, payload)
}

// maxContacts is the number of instances of another domain that a request is sent to in turn.
const maxContacts = 2

// contacts returns the live instances of another domain to send a request to. The request's number selects
// the first, so that requests about different duties are spread over the instances.
func (d *Delegator) contacts(r Request) []messenger.Peer {
	members := d.config.LiveMembers(r.Domain)
	peers := make([]messenger.Peer, min(len(members), maxContacts))
	for i := range peers {
		peers[i] = members[(r.Number+i)%len(members)].Peer
	}
	return peers
}
