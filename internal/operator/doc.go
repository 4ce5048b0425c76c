// Package operator implements the server and the client of the operator API.
//
// Only the leader serves the shared state. Any other instance responds with not-leader and names the leader if it is
// known. The client then retries at that address or at the next configured one. It resends a publish with its original
// ID, so that a lost response never causes a second publication.
package operator
