package generator

// Report holds the results of a run.
type Report struct {
	// Direct are the statistics of requests sent directly to the engine.
	Direct RouteStats
	// Entry are the statistics of requests sent through the entry instance.
	Entry RouteStats
}
