// Package linker relays packets and connections between processes on one
// machine, so that tests can create network partitions between failure domains
// and between them and the platform.
//
// For tests within one process, with fake time or with the loss of single
// messages, use internal/emulator/network, whose comment explains why there are
// two packages.
package linker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
)

// PlatformDomain is the name of the platform in a Pair, where it takes the place of a failure domain.
const PlatformDomain = "platform"

// Config configures a Linker.
type Config struct {
	// Domains maps the senders' IP addresses to their failure domains.
	Domains map[netip.Addr]string
	// Packets are the UDP relays.
	Packets []Relay
	// Connections are the TCP relays.
	Connections []Relay
}

// Linker runs relays and blocks those between partitioned failure domains.
type Linker struct {
	config     Config
	mutex      sync.Mutex
	partitions map[Pair]bool
	// changed is closed and replaced whenever the partitions change.
	changed chan struct{}
}

// New returns a Linker without partitions.
func New(config Config) *Linker {
	return &Linker{
		config:     config,
		partitions: map[Pair]bool{},
		changed:    make(chan struct{}),
	}
}

// Run runs the relays until the context ends. It returns the error of the first
// relay that cannot listen.
func (l *Linker) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make(chan error, len(l.config.Packets)+len(l.config.Connections))
	for _, relay := range l.config.Packets {
		p := &packetRelay{
			config:   relay,
			linker:   l,
			failures: failures,
		}
		go p.run(ctx)
	}
	for _, relay := range l.config.Connections {
		c := &connectionRelay{
			config:   relay,
			linker:   l,
			failures: failures,
		}
		go c.run(ctx)
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	}
}

// SetPartitions replaces the partitions in force; without pairs it heals all.
func (l *Linker) SetPartitions(pairs ...Pair) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.partitions = map[Pair]bool{}
	for _, pair := range pairs {
		l.partitions[pair] = true
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// isPartitioned reports whether two failure domains are partitioned, and returns a
// channel that is closed at the next call of SetPartitions.
func (l *Linker) isPartitioned(a, b string) (bool, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	forward := Pair{
		A: a,
		B: b,
	}
	backward := Pair{
		A: b,
		B: a,
	}
	return l.partitions[forward] || l.partitions[backward], l.changed
}

// ServeHTTP replaces the partitions in force by the JSON list of pairs in a
// request's body.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var pairs []Pair
	if err := json.NewDecoder(r.Body).Decode(&pairs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetPartitions(pairs...)
}
