package parser

import (
	"net/netip"
	"time"
)

// Default returns the default settings, which apply to every field that a file
// does not set.
func Default() Settings {
	return Settings{
		Name:   "entry",
		Domain: "local",
		Region: "local",
		Callers: Callers{
			Listen:      loopback(18080),
			Body:        4 << 20,
			Headers:     32 << 10,
			Heads:       64 << 20,
			Reading:     duration(10 * time.Second),
			Timeout:     duration(30 * time.Second),
			Overnight:   duration(8 * time.Hour),
			Connections: 10_000,
			Tokens:      256,
		},
		Peers: Peers{
			Listen: loopback(18090),
		},
		Operators: Operators{
			Listen: loopback(18100),
		},
		Admin: Admin{
			Listen: loopback(18110),
		},
		Platform: Platform{
			URL:     "http://127.0.0.1:18000",
			Timeout: duration(2 * time.Second),
			Reads:   40,
			Writes:  20,
			List:    duration(2 * time.Second),
		},
		Membership: Membership{
			Interval:   duration(500 * time.Millisecond),
			Suspicion:  duration(2 * time.Second),
			Death:      duration(10 * time.Second),
			Neighbours: 4,
			Bridges:    2,
		},
		Duties: Duties{
			Lease:      duration(6 * time.Second),
			Margin:     duration(time.Second),
			Extension:  duration(15 * time.Second),
			Limits:     3,
			Placements: 1,
		},
		Limits: Limits{
			Mode:      LimitLoans,
			Domains:   []string{"local"},
			Reserve:   0.2,
			Instances: 4,
			Interval:  duration(100 * time.Millisecond),
			Silence:   duration(10 * time.Second),
		},
		Waiting: Waiting{
			Requests:  1000,
			Overnight: 500,
		},
		Routing: Routing{
			Interval: duration(250 * time.Millisecond),
			Running:  64,
			Failures: 5,
			Cooling:  duration(2 * time.Second),
			Retries:  0.1,
			Head:     64 << 10,
			Answer:   16 << 20,
			Answers:  32 << 20,
			Event:    1 << 20,
		},
		Loading: Loading{
			Loads:    3,
			Slots:    4,
			Adapters: 30,
			Idle:     duration(5 * time.Minute),
			Expiry:   duration(500 * time.Millisecond),
			Policy:   EvictCost,
		},
		Shutdown: Shutdown{
			Notice: duration(2 * time.Second),
			Drain:  duration(60 * time.Second),
		},
		Log: Log{
			Level: "info",
		},
	}
}

// Values of Limits.Mode.
const (
	// LimitLoans divides a team's rate into reserves of the instances and
	// short-term loans.
	LimitLoans = "loans"
	// LimitEqual divides a team's rate equally between the instances.
	LimitEqual = "equal"
	// LimitHome accounts all of a team's spending at one instance.
	LimitHome = "home"
)

// Values of Loading.Policy.
const (
	// EvictCost evicts copies that are cheap to reload and unlikely to be
	// requested again.
	EvictCost = "cost"
	// EvictAge evicts the least recently used copies.
	EvictAge = "age"
)

// loopback returns a port of 127.0.0.1.
func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// duration wraps a time.Duration.
func duration(d time.Duration) Duration {
	return Duration{
		Duration: d,
	}
}
