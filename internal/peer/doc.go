// Package peer exchanges protobuf messages between the processes of a cluster.
//
// A process keeps one yamux session to each peer that it opens streams to, over TCP and optionally TLS. The first
// stream of a session is a handshake with Hello and Welcome messages, which carry the cluster, the process name and the
// incarnation. The server rejects processes of another cluster. Every later stream starts with a header that names its
// kind, and the server passes the stream to the handler of that kind.
package peer
