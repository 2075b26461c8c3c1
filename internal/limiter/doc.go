// Package limiter enforces every team's rate and burst across all instances together. A duty holder in each
// failure domain lends tokens to the domain's instances. The budget of a team is conserved: a sender of
// tokens debits them before it sends, and a receiver credits them once.
package limiter
