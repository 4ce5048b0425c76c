// Package trace records what the decision packages of a daemon are asked and what they decide, and replays
// the records through the same packages.
package trace
