package lint

import (
	"fmt"
	"strconv"
	"time"

	"sapphirespread.example/configuration"
)

// minBurstTime is the shortest time in which requests arrive evenly enough for a burst that holds less of the rate. It is
// the interval between two looks at waiting requests.
const minBurstTime = 10 * time.Millisecond

func (l *linter) checkLimit(limit configuration.Limit) {
	needed := limit.Rate * minBurstTime.Seconds()
	if float64(limit.Burst) < needed {
		l.warn("limits."+limit.Name+".burst", strconv.FormatInt(limit.Burst, 10),
			fmt.Sprintf("at least %.0f, which is %s of the rate: the rate can't be reached", needed, minBurstTime))
	}
}
