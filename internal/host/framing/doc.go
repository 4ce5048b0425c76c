// Package framing keeps HTTP/1.1 connections from being used again when the length of a message on them is open to more
// than one reading.
package framing
