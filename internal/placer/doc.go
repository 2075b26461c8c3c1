// Package placer decides which models, versions and adapters are loaded on the engines of a
// failure domain. The engines are split into groups. For each group one instance holds a
// duty (a role under a lease) and makes the decisions; all instances send it their demand.
// Each term (one holding of the duty) has an epoch, the fencing number that its orders carry.
// Each load and unload is written to the store as an intent (a write-ahead record) before
// the order is sent to the engine, so that the next holder of the duty accounts for every
// order that may still take effect.
package placer
