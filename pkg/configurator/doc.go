// Package configurator holds the configuration that operators manage: teams,
// keys, models, versions, adapters, batches, services, upstreams, routes and
// withdrawals. A configuration is an immutable snapshot; applying a change
// returns a new snapshot.
package configurator
