package admissionmeter

// load describes the limits of a team and the load that it offers.
type load struct {
	team string
	// rate and burst are its limits, in tokens per second and in tokens.
	rate  float64
	burst int64
	// offered is the offered load, as a multiple of the rate.
	offered float64
}

// teamLoads returns five teams of different sizes, one of which offers five times its rate.
func teamLoads() []load {
	return []load{
		{
			team:    "flood",
			rate:    4000,
			burst:   40_000,
			offered: 5,
		},
		{
			team:    "large",
			rate:    6000,
			burst:   60_000,
			offered: 0.7,
		},
		{
			team:    "middle",
			rate:    3000,
			burst:   30_000,
			offered: 0.7,
		},
		{
			team:    "small",
			rate:    1500,
			burst:   15_000,
			offered: 0.7,
		},
		{
			team:    "least",
			rate:    1000,
			burst:   10_000,
			offered: 0.7,
		},
	}
}

const (
	// leastTokens and mostTokens are the bounds of the tokens that a request reserves.
	leastTokens = 40
	mostTokens  = 160
	// usedPart is the mean fraction of a reservation that is used.
	usedPart = 0.85
)

// placement is the failure domain of an instance and its share of the arriving requests.
type placement struct {
	name   string
	domain string
	weight float64
}

// placements returns seven instances in three domains with unequal shares of the requests.
func placements() []placement {
	return []placement{
		{
			name:   "a-0",
			domain: "a",
			weight: 0.24,
		},
		{
			name:   "a-1",
			domain: "a",
			weight: 0.08,
		},
		{
			name:   "a-2",
			domain: "a",
			weight: 0.04,
		},
		{
			name:   "b-0",
			domain: "b",
			weight: 0.24,
		},
		{
			name:   "b-1",
			domain: "b",
			weight: 0.08,
		},
		{
			name:   "c-0",
			domain: "c",
			weight: 0.24,
		},
		{
			name:   "c-1",
			domain: "c",
			weight: 0.08,
		},
	}
}
