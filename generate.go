package main

//go:generate go build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=sapphirespread.example internal/peer/peerpb/peer.proto
//go:generate protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=sapphirespread.example internal/control/controlpb/control.proto
