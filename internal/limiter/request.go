package limiter

// Request is a request for tokens of a team's budget.
type Request struct {
	// Team is the team that spends the tokens.
	Team string
	// Tokens is the number of tokens to reserve; a negative number counts as zero.
	Tokens int64
	// Rank is the urgency of the request: while the budget lacks tokens, requests of a higher rank are served
	// before the team's other requests at this instance.
	Rank int
}
