package invoker

import (
	"io"
	"os"
)

// Invocation holds a program's command-line arguments and output streams.
type Invocation struct {
	// Arguments is the command line without the program's name.
	Arguments []string
	// Output receives results.
	Output io.Writer
	// Errors receives error messages, and the log if the program writes one.
	Errors io.Writer
}

// Process returns the invocation of this process.
func Process() Invocation {
	return Invocation{
		Arguments: os.Args[1:],
		Output:    os.Stdout,
		Errors:    os.Stderr,
	}
}
