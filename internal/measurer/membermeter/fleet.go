package membermeter

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/binder"
	"github.com/buckthorngap/buckthorngap/internal/certifier"
	"github.com/buckthorngap/buckthorngap/internal/emulator/platformer"
	"github.com/buckthorngap/buckthorngap/internal/holder"
	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// fleet is a number of instances in this process, with an emulated platform. Each
// instance has a messenger, a membership tracker, a guard, which detects that the
// process was frozen, and a holder of duties.
type fleet struct {
	messengers []*messenger.Messenger
	trackers   []*tracker.Tracker
	instances  []storer.Instance
	holders    []*holder.Holder
	guards     []*tracker.FreezeDetector
	platform   *platformer.Platform
	cancel     context.CancelFunc
	group      sync.WaitGroup

	lock sync.Mutex
	// listReads counts the reads of the platform's list of instances.
	listReads int
}

// fleetShape is the size of a fleet: its domains, the members of each and the number of neighbours in membership.
type fleetShape struct {
	domains    int
	members    int
	neighbours int
	// duties is the number of duties in each failure domain.
	duties int
}

// newFleet starts a fleet.
func newFleet(ctx context.Context, s fleetShape) (*fleet, error) {
	authority, err := certifier.NewAuthority(time.Now().Add(time.Hour), nil)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		platform: platformer.New(platformer.Config{}),
	}
	ctx, f.cancel = context.WithCancel(ctx)
	for d := range s.domains {
		for i := range s.members {
			if err := f.add(authority, s, fmt.Sprintf("d%d-i%d", d, i), fmt.Sprintf("d%d", d)); err != nil {
				f.stop()
				return nil, err
			}
		}
	}
	for i, m := range f.messengers {
		f.group.Go(func() { _ = m.Run(ctx) })
		f.group.Go(func() { _ = f.trackers[i].Run(ctx) })
		f.group.Go(func() { _ = f.guards[i].Run(ctx) })
		f.group.Go(func() { _ = f.holders[i].Run(ctx) })
	}
	return f, nil
}

func (f *fleet) add(authority *certifier.Authority, s fleetShape, name, domain string) error {
	identity, err := authority.NewIdentity(certifier.Subject{
		Name:   name,
		Domain: domain,
		Unit:   certifier.UnitInstance,
	})
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := messenger.Sender{
		Name:        name,
		Domain:      domain,
		Incarnation: 1,
	}
	m, err := messenger.New(messenger.Config{
		Self:      self,
		Listen:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0),
		ServerTLS: identity.Server(),
		ClientTLS: identity.Client(""),
		Log:       log,
	})
	if err != nil {
		return err
	}
	peer := messenger.Peer{
		Name:    name,
		Address: m.Address(),
	}
	guard := tracker.NewFreezeDetector(tracker.FreezeDetectorConfig{})
	t := tracker.New(tracker.Config{
		Self:           self,
		SelfPeer:       peer,
		FreezeDetector: guard,
		List:           f.list,
		Call:           m.Call,
		Neighbours:     s.neighbours,
		Log:            log,
	})
	for topic, handler := range t.Handlers() {
		m.Handle(topic, handler)
	}
	h := holder.New(holder.Config{
		Self:     self,
		SelfPeer: peer,
		Store: binder.New(binder.Config{
			URL:    "http://platform",
			Client: f.platform.Client(),
		}),
		Members:        t.Members,
		Call:           m.Call,
		FreezeDetector: guard,
		Duties:         dutyNames(s.duties),
		Log:            log,
	})
	for topic, handler := range h.Handlers() {
		m.Handle(topic, handler)
	}
	f.holders = append(f.holders, h)
	f.guards = append(f.guards, guard)
	f.messengers = append(f.messengers, m)
	f.trackers = append(f.trackers, t)
	f.instances = append(f.instances, storer.Instance{
		Name:    name,
		Domain:  domain,
		Role:    storer.RoleEntry,
		Address: m.Address(),
	})
	return nil
}

func dutyNames(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("duty/%d", i))
	}
	return names
}

// list returns the platform's list of instances and counts its reads.
func (f *fleet) list(context.Context) ([]storer.Instance, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.listReads++
	return f.instances, nil
}

func (f *fleet) stop() {
	f.cancel()
	f.group.Wait()
}

// traffic is the traffic of all instances together, with the number of links and of
// reads of the platform's list.
type traffic struct {
	bytes     uint64
	packets   uint64
	messages  uint64
	links     int
	listReads int
}

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

// traffic returns the traffic since the start.
func (f *fleet) traffic() traffic {
	var sum traffic
	for _, m := range f.messengers {
		dump := m.Snapshot()
		sum.messages += dump.Sent
		sum.links += len(dump.Links)
		for _, link := range dump.Links {
			packets := link.SentPackets + link.ReadPackets
			sum.packets += packets
			sum.bytes += link.SentBytes + link.ReadBytes + headerBytes*packets
		}
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	sum.listReads = f.listReads
	return sum
}
