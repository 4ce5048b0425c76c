// Package message converts claims, targets, headers, fingerprints and time stamps to and from the protobuf messages
// that processes exchange.
package message
