// Package controlpb holds the commands of the replicated log, their results, and the snapshot.
package controlpb
