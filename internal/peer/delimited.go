package peer

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// appendDelimited appends message behind its length, as protodelim reads it.
func appendDelimited(buffer []byte, size int, message proto.Message) ([]byte, error) {
	buffer = protowire.AppendVarint(buffer, uint64(size))
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
	if err != nil {
		return nil, fmt.Errorf("encoding a message: %w", err)
	}
	return encoded, nil
}
