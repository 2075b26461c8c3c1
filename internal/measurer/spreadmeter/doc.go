// Package spreadmeter measures the cost of distributing the configuration: by
// the number of instances, by the number of adapters, and in calls to the
// platform's store. All instances run in this process, without a network.
package spreadmeter
