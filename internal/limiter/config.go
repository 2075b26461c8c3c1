package limiter

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorngap/buckthorngap/internal/messenger"
	"github.com/buckthorngap/buckthorngap/internal/tracker"
	"github.com/buckthorngap/buckthorngap/pkg/configurator"
	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures a Limiter.
type Config struct {
	// Self identifies this instance.
	Self messenger.Sender
	// Domain is the failure domain of the instance.
	Domain string
	// Mode is one of parser.LimitLoans, parser.LimitEqual and parser.LimitHome.
	Mode string
	// Domains are all failure domains that share the teams' budgets.
	Domains []string
	// ReserveFraction is the fraction of the domain's share that is split into reserves, which instances spend
	// without contact to the holder.
	ReserveFraction float64
	// ReserveCount is the number of instances of the domain that get a reserve.
	ReserveCount int
	// DemandInterval is the time between demands for loans; zero means 100 milliseconds.
	DemandInterval time.Duration
	// MaxWait is the longest time that a reservation waits for a loan; zero means twenty intervals.
	MaxWait time.Duration
	// MaxPause is the longest pause of the process after which its reserves remain valid without confirmation;
	// zero means one second.
	MaxPause time.Duration
	// SilenceTimeout is how long an instance must have been silent before the holder grants its reserve to others;
	// zero means ten seconds. It must be longer than MaxPause.
	SilenceTimeout time.Duration
	// DutyCount is the number of limit duties in the domain; zero means one.
	DutyCount int
	// Team looks up the limits in force.
	Team func(name string) (configurator.Team, bool)
	// Term returns the instance's own term of a duty, if it holds one.
	Term func(duty string) (Term, bool)
	// Owner returns the holder of a duty and its epoch.
	Owner func(duty string) (messenger.Peer, uint64, bool)
	// Members lists the known instances; nil means none.
	Members func() []tracker.Member
	// Call sends a message to a peer.
	Call messenger.Caller
	// Store is the platform's key-value service.
	Store *storer.Store
	// Frozen reports whether the process was paused shortly before now; nil means that only MaxPause is checked.
	Frozen func(now time.Time) bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Log receives the events; nil disables logging.
	Log logrus.FieldLogger
}
