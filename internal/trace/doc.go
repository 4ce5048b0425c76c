// Package trace records the inputs and outcomes of a daemon's decision packages and replays the recorded inputs
// through the same packages.
package trace
