// Package room tells which requests a called service has room for, from what its targets reported with their answers.
package room
