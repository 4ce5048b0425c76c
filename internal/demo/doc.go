// Package demo runs both deployments in one process under load, with a surge in the middle, and reports the results
// that their callers observed.
package demo
