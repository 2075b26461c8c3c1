package binder

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthorngap/buckthorngap/pkg/storer"
)

// Config configures the Store that New returns.
type Config struct {
	// URL is the base URL of the service's HTTP interface.
	URL string
	// Client sends the calls; nil means a client from NewClient.
	Client *http.Client
	// Timeout limits a call other than a watch; zero means DefaultTimeout.
	Timeout time.Duration
	// ReadsPerSecond is the budget of reads a second; zero means no limit.
	ReadsPerSecond float64
	// WritesPerSecond is the budget of writes a second; zero means no limit.
	WritesPerSecond float64
	// Attempts is how many times a read is sent before it fails; zero means DefaultAttempts.
	Attempts int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// The defaults of Config.
const (
	// DefaultTimeout limits a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts is how many times a read is sent before it fails.
	DefaultAttempts = 3
	// WatchTimeout is how long a watch waits at most.
	WatchTimeout = 30 * time.Second
)

// binding implements the functions of one Store. They share its config and its budgets of calls.
type binding struct {
	config Config
	reads  *rate.Limiter
	writes *rate.Limiter
}

// New returns a Store whose functions call the platform's key-value service.
func New(config Config) *storer.Store {
	b := newBinding(config)
	return &storer.Store{
		Get:       b.get,
		List:      b.list,
		Scan:      b.scan,
		Swap:      b.swap,
		Delete:    b.remove,
		Grant:     b.grant,
		Renew:     b.renew,
		Revoke:    b.revoke,
		Watch:     b.watch,
		Instances: b.instances,
	}
}

// newBinding returns a binding for a config whose defaults it fills in.
func newBinding(config Config) *binding {
	if config.Client == nil {
		config.Client = NewClient()
	}
	config.Timeout = cmp.Or(max(config.Timeout, 0), DefaultTimeout)
	config.Attempts = cmp.Or(max(config.Attempts, 0), DefaultAttempts)
	if config.Now == nil {
		config.Now = time.Now
	}
	return &binding{
		config: config,
		reads:  newBudget(config.ReadsPerSecond),
		writes: newBudget(config.WritesPerSecond),
	}
}

// newBudget returns a limiter of calls a second. It allows bursts of one second's calls.
func newBudget(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (b *binding) get(ctx context.Context, key string) (storer.Entry, error) {
	entry, err := sendRead[Entry](ctx, b, call{
		path: PathGet,
		key:  key,
		body: KeyRequest{
			Key: key,
		},
	})
	return entryFromWire(entry), err
}

func (b *binding) list(ctx context.Context, prefix string) ([]storer.Entry, error) {
	answer, err := sendRead[ListAnswer](ctx, b, call{
		path: PathList,
		key:  prefix,
		body: PrefixRequest{
			Prefix: prefix,
		},
	})
	return entriesFromWire(answer.Entries), err
}

func (b *binding) scan(ctx context.Context, prefix string) (storer.Changes, error) {
	answer, err := sendRead[ListAnswer](ctx, b, call{
		path: PathList,
		key:  prefix,
		body: PrefixRequest{
			Prefix: prefix,
		},
	})
	return storer.Changes{
		Entries:  entriesFromWire(answer.Entries),
		Revision: answer.Revision,
	}, err
}

func (b *binding) instances(ctx context.Context) ([]storer.Instance, error) {
	answer, err := sendRead[InstancesAnswer](ctx, b, call{
		path: PathInstances,
		body: struct{}{},
	})
	return answer.Instances, err
}

// watch sends a watch once. After a failure its caller sends another from the revision that it has seen.
func (b *binding) watch(ctx context.Context, prefix string, after storer.Revision) (storer.Changes, error) {
	bounded, cancel := context.WithTimeout(ctx, WatchTimeout+b.config.Timeout)
	defer cancel()
	answer, err := sendWithinBudget[ListAnswer](bounded, b, b.reads, call{
		path: PathWatch,
		key:  prefix,
		body: PrefixRequest{
			Prefix:       prefix,
			After:        after,
			Milliseconds: WatchTimeout.Milliseconds(),
		},
	})
	return storer.Changes{
		Entries:  entriesFromWire(answer.Entries),
		Deleted:  answer.Deleted,
		Revision: answer.Revision,
	}, err
}

func (b *binding) swap(ctx context.Context, swap storer.Swap) (storer.Entry, error) {
	written, err := sendWrite[Entry](ctx, b, call{
		path:  PathSwap,
		key:   swap.Key,
		lease: swap.Lease,
		body: SwapRequest{
			Key:      swap.Key,
			Value:    swap.Value,
			Expected: swap.Expected,
			Lease:    swap.Lease,
		},
	})
	if err != nil {
		return storer.Entry{}, err
	}
	written.Value = swap.Value
	return entryFromWire(written), nil
}

func (b *binding) remove(ctx context.Context, key string, expected storer.Revision) error {
	_, err := sendWrite[struct{}](ctx, b, call{
		path: PathDelete,
		key:  key,
		body: KeyRequest{
			Key:      key,
			Expected: expected,
		},
	})
	return err
}

func (b *binding) grant(ctx context.Context, timeToLive time.Duration) (storer.Lease, error) {
	return b.lease(ctx, call{
		path: PathGrant,
		body: LeaseRequest{
			Milliseconds: timeToLive.Milliseconds(),
		},
	})
}

func (b *binding) renew(ctx context.Context, id storer.LeaseID) (storer.Lease, error) {
	return b.lease(ctx, call{
		path:  PathRenew,
		lease: id,
		body: LeaseRequest{
			Lease: id,
		},
	})
}

// lease grants or renews a lease. The deadline is counted from before the request is sent. The service
// starts its own count later, so the lease never lapses before the deadline. The clock is read after
// the wait for the budget, since that wait would otherwise shorten the lease.
func (b *binding) lease(ctx context.Context, c call) (storer.Lease, error) {
	if err := takeBudget(ctx, b.writes, "write"); err != nil {
		return storer.Lease{}, err
	}
	sent := b.config.Now()
	granted, err := exchange[LeaseAnswer](ctx, b, c)
	if err != nil {
		return storer.Lease{}, err
	}
	return storer.Lease{
		ID:       granted.Lease,
		Deadline: sent.Add(time.Duration(granted.Milliseconds) * time.Millisecond),
	}, nil
}

func (b *binding) revoke(ctx context.Context, id storer.LeaseID) error {
	_, err := sendWrite[struct{}](ctx, b, call{
		path:  PathRevoke,
		lease: id,
		body: LeaseRequest{
			Lease: id,
		},
	})
	return err
}

// entryFromWire converts an entry of the wire to storer.Entry.
func entryFromWire(entry Entry) storer.Entry {
	return storer.Entry{
		Key:      entry.Key,
		Value:    entry.Value,
		Revision: entry.Revision,
		Lease:    entry.Lease,
	}
}

// entriesFromWire converts entries of the wire to storer.Entry.
func entriesFromWire(entries []Entry) []storer.Entry {
	converted := make([]storer.Entry, 0, len(entries))
	for _, entry := range entries {
		converted = append(converted, entryFromWire(entry))
	}
	return converted
}

// isUnavailable reports whether a call got no usable answer.
func isUnavailable(err error) bool {
	var target *storer.Unavailable
	return errors.As(err, &target)
}
