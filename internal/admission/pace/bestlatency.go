package pace

import "time"

const (
	latencyBlock     = 16 // runs whose mean is compared; single runs of one route differ by more than crowding does
	maxTrackedRoutes = 64
)

// bestLatency is the lowest mean latency of a route since the ramp began, over latencyBlock runs in sequence, with the requests
// at a time that it was seen at.
type bestLatency struct {
	latency, running float64 // 0 until the first block is full
	sumLatency       float64
	sumRunning       float64
	runs             int
}

// observe records a run, and returns its latency and the requests at a time relative to the best.
func (b *bestLatency) observe(latency time.Duration, running int) (slowness, crowding float64) {
	slowness, crowding = 1, 1
	if b.latency > 0 {
		slowness, crowding = float64(latency)/b.latency, float64(running)/b.running
	}
	b.sumLatency += float64(latency)
	b.sumRunning += float64(running)
	b.runs++
	if b.runs < latencyBlock {
		return slowness, crowding
	}
	if mean := b.sumLatency / latencyBlock; b.latency == 0 || mean < b.latency {
		b.latency, b.running = mean, b.sumRunning/latencyBlock
	}
	b.sumLatency, b.sumRunning, b.runs = 0, 0, 0
	return slowness, crowding
}

// bestLatencies holds the best latency of each route. Runs of routes beyond maxTrackedRoutes tell nothing.
type bestLatencies map[string]*bestLatency

func (b bestLatencies) observe(route string, latency time.Duration, running int) (slowness, crowding float64) {
	best, known := b[route]
	if !known {
		if len(b) >= maxTrackedRoutes {
			return 1, 1
		}
		best = &bestLatency{}
		b[route] = best
	}
	return best.observe(latency, max(running, 1))
}
