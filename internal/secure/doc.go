// Package secure builds the mutual TLS configuration of sessions between processes from PEM files.
package secure
