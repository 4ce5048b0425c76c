package message

import "sapphirespread.example/internal/membership/target"

// DecodePace decodes the pace of a target. A pace out of range counts as full.
func DecodePace(encoded uint32) int {
	return int(min(encoded, target.FullPace))
}
