// Package connection is an HTTP/1.1 client with a pool of persistent connections to a backend server.
//
// Unlike the transport of net/http, it never sends a request twice, checks that an idle connection is usable before it
// writes to it, and lets the caller decide whether a response belongs to its request. A connection that has unread
// bytes after a response is closed.
package connection
