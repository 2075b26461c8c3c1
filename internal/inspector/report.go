package inspector

// Report is the result of a check.
type Report struct {
	// Findings are the mistakes.
	Findings []Finding `json:"findings"`
	// Changes are the records that differ from the configuration in force.
	Changes []Change `json:"changes"`
}
