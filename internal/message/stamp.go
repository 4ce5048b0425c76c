package message

import (
	"time"

	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/timeline"
)

// EncodeStamp encodes a time stamp.
func EncodeStamp(stamp timeline.Stamp) *peerpb.Stamp {
	return &peerpb.Stamp{WallNs: stamp.Wall.UnixNano(), Logical: stamp.Logical}
}

// DecodeStamp decodes a time stamp. It returns the zero Stamp for nil.
func DecodeStamp(encoded *peerpb.Stamp) timeline.Stamp {
	if encoded == nil {
		return timeline.Stamp{}
	}
	return timeline.Stamp{Wall: time.Unix(0, encoded.GetWallNs()), Logical: encoded.GetLogical()}
}
