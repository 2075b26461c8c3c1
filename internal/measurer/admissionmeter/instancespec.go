package admissionmeter

// instanceSpec describes an instance: its name, its failure domain and its share of the arriving requests.
type instanceSpec struct {
	name   string
	domain string
	share  float64
}

// instanceSpecs returns seven instances in three domains with unequal shares of the requests.
func instanceSpecs() []instanceSpec {
	return []instanceSpec{
		{
			name:   "a-0",
			domain: "a",
			share:  0.24,
		},
		{
			name:   "a-1",
			domain: "a",
			share:  0.08,
		},
		{
			name:   "a-2",
			domain: "a",
			share:  0.04,
		},
		{
			name:   "b-0",
			domain: "b",
			share:  0.24,
		},
		{
			name:   "b-1",
			domain: "b",
			share:  0.08,
		},
		{
			name:   "c-0",
			domain: "c",
			share:  0.24,
		},
		{
			name:   "c-1",
			domain: "c",
			share:  0.08,
		},
	}
}
