package peer

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

var errTooLarge = errors.New("sending a message: larger than a peer accepts")

// appendDelimited appends the length-prefixed message in the format that protodelim reads. It returns errTooLarge if
// the message is larger than maxMessageBytes.
func appendDelimited(buffer []byte, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if size > maxMessageBytes {
		return nil, errTooLarge
	}
	buffer = protowire.AppendVarint(buffer, uint64(size))
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
	if err != nil {
		return nil, fmt.Errorf("encoding a message: %w", err)
	}
	return encoded, nil
}
