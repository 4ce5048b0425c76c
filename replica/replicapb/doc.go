// Package replicapb holds the protobuf messages between replicas and the records on their disks.
package replicapb
