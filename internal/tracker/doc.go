// Package tracker maintains the membership: which instances exist and which are alive. Its sources
// are the platform's list, which lags, and heartbeats between instances, which also disseminate
// recent changes of members (gossip). Silent members become suspect, then dead; a member refutes
// that by raising its counter. It also detects freezes of this process.
package tracker
