// Package demo runs both deployments in one process under load, with a surge in the middle, and tells
// what their callers saw.
package demo
