package message

import (
	"time"

	"sapphirespread.example/internal/membership/departure"
	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeDeparture encodes a departure.
func EncodeDeparture(d departure.Departure) *peerpb.Departure {
	return &peerpb.Departure{Target: d.Target, StartedAtUs: EncodeStartTime(d.StartedAt), Left: d.Phase == departure.Left}
}

// DecodeDeparture decodes a departure.
func DecodeDeparture(encoded *peerpb.Departure) departure.Departure {
	d := departure.Departure{Target: encoded.GetTarget(), StartedAt: DecodeStartTime(encoded.GetStartedAtUs()), Phase: departure.Draining}
	if encoded.GetLeft() {
		d.Phase = departure.Left
	}
	return d
}

// EncodeStartTime encodes the start time of a process in microseconds, or an unknown one as 0.
func EncodeStartTime(startedAt time.Time) int64 {
	if startedAt.IsZero() {
		return 0
	}
	return startedAt.UnixMicro()
}

// DecodeStartTime decodes a start time encoded by EncodeStartTime.
func DecodeStartTime(encoded int64) time.Time {
	if encoded == 0 {
		return time.Time{}
	}
	return time.UnixMicro(encoded).UTC()
}
