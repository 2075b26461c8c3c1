package parser

import (
	"net/netip"
	"time"
)

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Name:   "entry",
		Domain: "local",
		Region: "local",
		Callers: Callers{
			Listen:      loopback(18080),
			Body:        4 << 20,
			Headers:     32 << 10,
			Reading:     span(10 * time.Second),
			Timeout:     span(30 * time.Second),
			Overnight:   span(8 * time.Hour),
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
			Timeout: span(2 * time.Second),
			Reads:   40,
			Writes:  20,
			List:    span(2 * time.Second),
		},
		Membership: Membership{
			Interval:   span(500 * time.Millisecond),
			Suspicion:  span(2 * time.Second),
			Death:      span(10 * time.Second),
			Neighbours: 4,
			Bridges:    2,
		},
		Duties: Duties{
			Lease:      span(6 * time.Second),
			Margin:     span(time.Second),
			Extension:  span(15 * time.Second),
			Limits:     3,
			Placements: 1,
		},
		Limits: Limits{
			Mode:      LimitLoans,
			Domains:   []string{"local"},
			Reserve:   0.2,
			Instances: 4,
			Interval:  span(100 * time.Millisecond),
			Silence:   span(10 * time.Second),
		},
		Waiting: Waiting{
			Requests:  1000,
			Overnight: 500,
		},
		Routing: Routing{
			Interval: span(250 * time.Millisecond),
			Running:  64,
			Failures: 5,
			Cooling:  span(2 * time.Second),
			Retries:  0.1,
			Answer:   16 << 20,
			Event:    1 << 20,
		},
		Loading: Loading{
			Loads:    3,
			Slots:    4,
			Adapters: 30,
			Idle:     span(5 * time.Minute),
			Expiry:   span(500 * time.Millisecond),
			Policy:   EvictCost,
		},
		Shutdown: Shutdown{
			Notice: span(2 * time.Second),
			Drain:  span(60 * time.Second),
		},
		Log: Log{
			Level: "info",
		},
	}
}

// The values of Limits.Mode.
const (
	// LimitLoans divides by reserves and short loans.
	LimitLoans = "loans"
	// LimitEqual divides equally between instances.
	LimitEqual = "equal"
	// LimitHome sends all of a team's spending to one instance.
	LimitHome = "home"
)

// The values of Loading.Policy.
const (
	// EvictCost evicts what is cheap to bring back and unlikely to return.
	EvictCost = "cost"
	// EvictAge evicts what was not used for longest.
	EvictAge = "age"
)

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

func span(d time.Duration) Duration {
	return Duration{
		Duration: d,
	}
}
