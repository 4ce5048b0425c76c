package load

import "time"

// Answerable returns, for each workspace, how many of the requests arriving in [from, to) are within its rate and
// burst if each is sent once.
func (p Plan) Answerable(from, to time.Duration) []int64 {
	counts := make([]int64, len(p.Workspaces))
	buckets := make([]*Bucket, len(p.Workspaces))
	start := time.Unix(0, 0)
	for i, workspace := range p.Workspaces {
		buckets[i] = NewBucket(start, workspace.Limit)
	}
	for _, arrival := range p.Arrivals() {
		within := buckets[arrival.Workspace].Take(start.Add(arrival.At))
		if within && arrival.At >= from && arrival.At < to {
			counts[arrival.Workspace]++
		}
	}
	return counts
}
