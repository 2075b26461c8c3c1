// Package auditor verifies from a record of a team's spending that it stayed within
// the team's rate and burst over every window of time.
package auditor
