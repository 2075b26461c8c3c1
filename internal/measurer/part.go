package measurer

// record holds the results of a part in one run.
type record struct {
	// command describes the run: its date, machine, duration and command line.
	command string
	// lines are the results, one key=value line each.
	lines string
}

// part holds the results of one measurement in its latest run and in the run before that.
type part struct {
	name    string
	title   string
	latest  record
	earlier record
}
