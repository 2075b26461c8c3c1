package balancer

const (
	// averageWeight is the number of values that an Average goes back.
	averageWeight = 16
	// priorWeight is the number of values for which the prior value of Average.Toward counts.
	priorWeight = 4
)

// Average is the moving average of a series. The zero value is empty. It is not safe for concurrent use.
type Average struct {
	value float64
	count float64
}

// Add adds a value.
func (a *Average) Add(value float64) {
	a.count = min(averageWeight, a.count+1)
	a.value += (value - a.value) / a.count
}

// Value returns the average, or zero if there are no values.
func (a *Average) Value() float64 { return a.value }

// Toward returns the average drawn toward a prior value, the more so the fewer values there are.
func (a *Average) Toward(prior float64) float64 {
	return (a.value*a.count + prior*priorWeight) / (a.count + priorWeight)
}
