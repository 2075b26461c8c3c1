// Package seeder provides the seeds of randomized histories: the same ones in every
// run, unless a soak run sets another first seed.
package seeder

import (
	"iter"
	"os"
	"strconv"
)

// Variable is the environment variable that holds the first seed of a soak run.
const Variable = "BUCKTHORNGAP_SEED"

// Seeds yields count consecutive seeds from 0, or from the value of Variable.
func Seeds(count int) iter.Seq[int] {
	first := int(First())
	return func(yield func(int) bool) {
		for seed := first; seed < first+count; seed++ {
			if !yield(seed) {
				return
			}
		}
	}
}

// First returns the first seed: the value of Variable, or 0 if it is not set or not a
// number.
func First() uint64 {
	first, err := strconv.ParseUint(os.Getenv(Variable), 10, 32)
	if err != nil {
		return 0
	}
	return first
}
