package admissionmeter

// teamLoad describes the limits of a team and the load that it offers.
type teamLoad struct {
	name string
	// rate and burst are its limits, in tokens per second and in tokens.
	rate  float64
	burst int64
	// offered is the offered load, as a multiple of the rate.
	offered float64
}

// teamLoads returns five teams of different sizes, one of which offers five times its rate.
func teamLoads() []teamLoad {
	return []teamLoad{
		{
			name:    "flood",
			rate:    4000,
			burst:   40_000,
			offered: 5,
		},
		{
			name:    "large",
			rate:    6000,
			burst:   60_000,
			offered: 0.7,
		},
		{
			name:    "middle",
			rate:    3000,
			burst:   30_000,
			offered: 0.7,
		},
		{
			name:    "small",
			rate:    1500,
			burst:   15_000,
			offered: 0.7,
		},
		{
			name:    "least",
			rate:    1000,
			burst:   10_000,
			offered: 0.7,
		},
	}
}

const (
	// minTokens and maxTokens are the bounds of the tokens that a request reserves.
	minTokens = 40
	maxTokens = 160
	// usedFraction is the mean fraction of a reservation that is used.
	usedFraction = 0.85
)
