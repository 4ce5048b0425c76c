package replica

//go:generate go build -modfile=../tools/go.mod -o ../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc -I .. --plugin=../bin/protoc-gen-go --go_out=.. --go_opt=module=sapphirespread.example replica/replicapb/replica.proto
