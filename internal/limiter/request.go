package limiter

// Request asks for tokens of a team's budget.
type Request struct {
	Team   string
	Tokens int64
	// Rank is the urgency of the request: while the budget lacks tokens, requests of a higher rank are served
	// before the team's other requests at this instance.
	Rank int
}
