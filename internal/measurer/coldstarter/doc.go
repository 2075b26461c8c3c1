// Package coldstarter measures cold starts and idle accelerator hours. It runs
// the real placers of three failure domains against simulated engines and a
// simulated weight store in virtual time, and baselines in the same run.
package coldstarter
