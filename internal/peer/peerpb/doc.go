// Package peerpb holds the protobuf messages that the project's processes exchange.
package peerpb
