package commander

// ambiguousCheck reports a check of neither or both of a configuration and a settings file.
type ambiguousCheck struct{}

// Error implements error.
func (e *ambiguousCheck) Error() string { return "check takes either FILE or --settings FILE" }
