package budget

import "time"

// A transfer is a message on its way from or to a client, as far as the process waits for the client.
type transfer struct {
	// waitingSince is the start of the present wait, or zero.
	waitingSince time.Time
	waited       time.Duration // without the present wait
	bytes        int64
}

func (t *transfer) begin() {
	t.waited, t.bytes = 0, 0
}

func (t *transfer) wait(now time.Time) {
	t.waitingSince = now
}

func (t *transfer) proceed(now time.Time, bytes int) {
	t.waited += now.Sub(t.waitingSince)
	t.waitingSince = time.Time{}
	t.bytes += int64(bytes)
}

// lag returns how far the client has fallen behind: the longer of its present pause and the time that it took beyond that
// of minRate. It is 0 while the process doesn't wait for the client.
func (t *transfer) lag(now time.Time) time.Duration {
	if t.waitingSince.IsZero() {
		return 0
	}
	pause := now.Sub(t.waitingSince)
	expected := time.Duration(float64(t.bytes) / minRate * float64(time.Second))
	return max(pause, t.waited+pause-expected)
}
