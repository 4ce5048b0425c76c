package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A runCounter counts the runs of each idempotency key over all backend servers.
type runCounter struct {
	mu      sync.Mutex
	runs    map[string]int
	started chan string
}

func newRunCounter() *runCounter {
	return &runCounter{runs: make(map[string]int), started: make(chan string, 1024)}
}

// handle returns a handler that counts a run and answers after duration.
func (c *runCounter) handle(duration time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		c.mu.Lock()
		c.runs[key]++
		c.mu.Unlock()
		c.started <- key
		time.Sleep(duration)
		_, _ = fmt.Fprint(w, "booked")
	}
}

// checkAtMostOnce reports an error for each key that ran more than once, and returns the total number of runs.
func (c *runCounter) checkAtMostOnce(t *testing.T) (total int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, runs := range c.runs {
		total += runs
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	return total
}

// TestKilledDaemonNeverRunsABookingTwice kills the target's daemon before, during and after the claim and the run,
// restarts it, resends the booking, and checks that it runs at most once. A booking that was answered before gets the
// same answer again, and one that was refused as not run succeeds.
func TestKilledDaemonNeverRunsABookingTwice(t *testing.T) {
	c := newCluster(t, baseSet())
	entry := c.daemon("entry")
	target := c.daemon("bookings-1")
	counter := newRunCounter()
	target.serve("bookings-1", "bookings", counter.handle(20*time.Millisecond))
	eventually(t, "a booking", func() bool { return entry.book("warm-up", 5*time.Second).status == http.StatusOK })
	delays := []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 8 * time.Millisecond, 15 * time.Millisecond, 40 * time.Millisecond}
	for i, delay := range delays {
		key := fmt.Sprintf("killed-%d", i)
		sent := make(chan reply, 1)
		go func() { sent <- entry.book(key, 8*time.Second) }()
		time.Sleep(delay)
		target.kill()
		first := <-sent
		target.start()
		target.awaitReady()
		eventually(t, "the target is back", func() bool {
			return entry.book(fmt.Sprintf("back-%d", i), 5*time.Second).status == http.StatusOK
		})
		again := entry.book(key, 5*time.Second)
		notRun := first.header.Get("Sapphirespread-Run-State") == "not-run"
		if first.status == http.StatusOK && again.body != first.body {
			t.Errorf("%s: first answer %q, then %d %q", key, first.body, again.status, again.body)
		}
		if notRun && again.status != http.StatusOK {
			t.Errorf("%s: refused as not run, then %d %s", key, again.status, again.refusal())
		}
	}
	if total := counter.checkAtMostOnce(t); total < len(delays) {
		t.Errorf("%d runs", total)
	}
}

// TestFrozenDaemonNeverRunsABookingTwice freezes the target's daemon for longer than every timeout while bookings are
// under way, resends them to another target, and resumes the daemon. It checks that no booking runs twice.
func TestFrozenDaemonNeverRunsABookingTwice(t *testing.T) {
	const longerThanEveryTimeout = 12 * time.Second
	c := newCluster(t, baseSet())
	entry := c.daemon("entry")
	frozen := c.daemon("bookings-1")
	counter := newRunCounter()
	frozen.serve("bookings-1", "bookings", counter.handle(5*time.Millisecond))
	eventually(t, "a booking", func() bool { return entry.book("warm-up", 5*time.Second).status == http.StatusOK })
	const bookings = 40
	var sent sync.WaitGroup
	for i := range bookings {
		time.Sleep(time.Millisecond)
		sent.Go(func() { entry.book(fmt.Sprintf("frozen-%d", i), 8*time.Second) })
		if i == bookings/2 {
			frozen.signal(syscall.SIGSTOP)
		}
	}
	resume := time.After(longerThanEveryTimeout)
	other := c.daemon("bookings-2")
	other.serve("bookings-2", "bookings", counter.handle(5*time.Millisecond))
	eventually(t, "the other target serves", func() bool { return entry.book("other", 5*time.Second).status == http.StatusOK })
	sent.Wait()
	resend := func() {
		var again sync.WaitGroup
		for i := range bookings {
			again.Go(func() { entry.book(fmt.Sprintf("frozen-%d", i), 5*time.Second) })
		}
		again.Wait()
	}
	resend()
	<-resume
	frozen.signal(syscall.SIGCONT)
	resend()
	eventually(t, "the frozen daemon is back", func() bool { return status(frozen.ready)/100 == 2 })
	resend()
	if total := counter.checkAtMostOnce(t); total < bookings/2 {
		t.Errorf("%d runs of %d bookings", total, bookings)
	}
}

// TestLostControlQuorumRunsNoBooking kills the only control instance and checks that bookings are refused as not run,
// since they can't acquire a claim.
func TestLostControlQuorumRunsNoBooking(t *testing.T) {
	c := newCluster(t, baseSet())
	target := c.daemon("bookings-1")
	counter := newRunCounter()
	target.serve("bookings-1", "bookings", counter.handle(0))
	eventually(t, "a booking", func() bool { return target.book("warm-up", 5*time.Second).status == http.StatusOK })
	before := counter.checkAtMostOnce(t)
	c.control.kill()
	for i := range 5 {
		got := target.book(fmt.Sprintf("lost-%d", i), 8*time.Second)
		if got.header.Get("Sapphirespread-Run-State") != "not-run" {
			t.Errorf("booking %d: %d %s", i, got.status, got.refusal())
		}
	}
	if after := counter.checkAtMostOnce(t); after != before {
		t.Errorf("%d bookings ran without a claim", after-before)
	}
	c.control.start()
	eventually(t, "bookings run again", func() bool { return target.book("lost-0", 5*time.Second).status == http.StatusOK })
	counter.checkAtMostOnce(t)
}
