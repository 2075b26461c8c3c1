package limiter

// shares holds the domain's fractions of teams' budgets where they differ from an equal share.
type shares struct {
	byTeam map[string]float64
}

// fraction returns the domain's fraction of a team's budget; equal is the default.
func (s shares) fraction(team string, equal float64) float64 {
	if fraction, ok := s.byTeam[team]; ok {
		return fraction
	}
	return equal
}
