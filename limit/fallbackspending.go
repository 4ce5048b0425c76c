package limit

import "time"

// A FallbackSpending tells an owner how many tokens a workspace spent at a holder without the owner's grants.
type FallbackSpending struct {
	Workspace string
	// Total is the number of tokens since the start of the holder. The owner charges its growth, so that it charges each
	// token once, also after a lost or repeated message.
	Total int64
	// Recent is the part of Total that was spent in the last silence, and Period the time since that silence began. An
	// owner that has no earlier total of the holder charges Recent.
	Recent int64
	Period time.Duration
}

// since returns how many of the recent tokens were spent after start, if the spending was even.
func (f FallbackSpending) since(now, start time.Time) int64 {
	share := 1.0
	if f.Period > 0 {
		share = min(1, max(0, now.Sub(start).Seconds()/f.Period.Seconds()))
	}
	return int64(share * float64(f.Recent))
}
