package informer

import (
	"net/netip"
	"time"

	"github.com/buckthorngap/buckthorngap/internal/informer/informerpb"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Fact is what one instance has seen.
type Fact struct {
	// Kind is what the fact says.
	Kind Kind
	// Subject is the name of the upstream or failure domain that it is about.
	Subject string
	// Start identifies the upstream's start, as in its report, and Address its listen address; neither is set for a failure
	// domain.
	Start   string
	Address netip.AddrPort
	// Revision is the store's revision at which it was so; zero if the store does not say it.
	Revision storer.Revision
	// Seen is when an instance saw it.
	Seen time.Time
}

// replaces reports whether a fact makes another one needless: it says something of the same subject, later.
func (f Fact) replaces(other Fact) bool {
	if f.Subject != other.Subject || f.Start != other.Start || f.Address != other.Address {
		return false
	}
	return f.Kind == other.Kind || f.Kind != Leaves && other.Kind != Leaves
}

// encode encodes the fact for a peer.
func (f Fact) encode(now time.Time) *informerpb.Fact {
	message := &informerpb.Fact{
		Kind:     informerpb.Kind(f.Kind),
		Subject:  f.Subject,
		Start:    f.Start,
		Revision: uint64(f.Revision),
		Age:      now.Sub(f.Seen).Milliseconds(),
	}
	if f.Address.IsValid() {
		message.Address = f.Address.String()
	}
	return message
}

// decode decodes a peer's fact. It returns *Malformed.
func decode(message *informerpb.Fact, now time.Time) (Fact, error) {
	fact := Fact{
		Kind:     Kind(message.GetKind()),
		Subject:  message.GetSubject(),
		Start:    message.GetStart(),
		Revision: storer.Revision(message.GetRevision()),
		Seen:     now.Add(-time.Duration(max(0, message.GetAge())) * time.Millisecond),
	}
	if fact.Subject == "" {
		return Fact{}, &Malformed{
			Subject: fact.Subject,
		}
	}
	if message.GetAddress() == "" {
		return fact, nil
	}
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil {
		return Fact{}, &Malformed{
			Subject: fact.Subject,
			Cause:   err,
		}
	}
	fact.Address = address
	return fact, nil
}
