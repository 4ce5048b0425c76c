// Package dialect defines the interface through which a daemon reads and writes the headers of its callers and its
// backend server.
package dialect
