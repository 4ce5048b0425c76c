// Package peer carries protobuf messages between the project's processes.
//
// Two processes share one yamux session a direction over TCP, with TLS where it is configured.
// A session starts with Hello and Welcome, which name cluster, process and incarnation; a process
// of another cluster is refused. Each further stream begins with its kind and is handed to the
// handler of that kind.
package peer
