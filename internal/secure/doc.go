// Package secure makes the TLS configuration of sessions between processes from PEM files.
package secure
