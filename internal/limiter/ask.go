package limiter

// Ask is what a request wants of its team's budget.
type Ask struct {
	Team   string
	Tokens int64
	// Rank is how urgent the request is: while the budget lacks tokens, those of
	// a higher rank go before the team's others at the instance.
	Rank int
}
