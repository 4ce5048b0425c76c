// Package locality decides which share of the calls to a service leaves the caller's failure domain.
package locality
