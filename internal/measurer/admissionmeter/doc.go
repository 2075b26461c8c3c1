// Package admissionmeter measures how exactly several instances enforce teams'
// budgets and how much of them teams can use. It runs all instances in one
// process, and compares with two baselines: an equal split and home instances.
// The same code runs in real time and, in tests, in fake time.
package admissionmeter
