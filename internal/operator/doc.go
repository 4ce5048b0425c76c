// Package operator serves the operator API over a narrow interface and is the client of it for commands.
//
// Only the leader answers for shared state: any other instance answers not-leader and names the leader where it
// knows it. The client then goes on to that address or to the next one it was given, and resends a publish under
// its first id, so that a lost answer never publishes twice.
package operator
