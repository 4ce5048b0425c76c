// Package claimpb holds the protobuf messages of the snapshot of a claim.Registry.
package claimpb

//go:generate protoc --plugin=../../bin/protoc-gen-go -I../.. --go_out=../.. --go_opt=module=sapphirespread.example claim/claimpb/claim.proto
