// Package connection keeps connections to a backend server and exchanges one request at a time on each.
//
// Unlike the transport of net/http it never sends a request twice, checks a kept connection before it writes to it, and
// lets the caller tell whose answer has come: bytes that belong to no request end the connection.
package connection
