// Package tracker maintains the membership: which instances exist and which are alive. It learns
// them from the platform's list, which lags, and from heartbeats between instances, which also
// spread changes. It detects freezes of this process too.
package tracker
