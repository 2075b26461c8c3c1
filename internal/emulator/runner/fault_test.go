package runner_test

import "github.com/buckthorngap/buckthorngap/internal/emulator/faulter"

// faultLost returns a fault that breaks the connection of one stream after the given number of tokens.
func faultLost(after int) faulter.Fault {
	return faulter.Fault{
		Kind:  faulter.Lost,
		Count: 1,
		After: after,
	}
}
