package message

import (
	"time"

	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/timeline"
)

// EncodeStamp returns the message of a clock's reading.
func EncodeStamp(stamp timeline.Stamp) *peerpb.Stamp {
	return &peerpb.Stamp{WallNs: stamp.Wall.UnixNano(), Logical: stamp.Logical}
}

// DecodeStamp returns a clock's reading, or the zero Stamp where there is none.
func DecodeStamp(encoded *peerpb.Stamp) timeline.Stamp {
	if encoded == nil {
		return timeline.Stamp{}
	}
	return timeline.Stamp{Wall: time.Unix(0, encoded.GetWallNs()), Logical: encoded.GetLogical()}
}
