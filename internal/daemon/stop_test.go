package daemon_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestSecondSignalCutsNoRequest sends SIGTERM twice to a daemon that runs a booking and holds its claim. The booking
// must complete and the daemon exit cleanly.
func TestSecondSignalCutsNoRequest(t *testing.T) {
	c := newCluster(t, baseSet())
	d := c.daemon("bookings-1")
	counter := newRunCounter()
	d.serve("bookings-1", "bookings", counter.handle(time.Second))
	eventually(t, "a booking", func() bool { return d.book("warm-up", 5*time.Second).status == http.StatusOK })
	for len(counter.started) > 0 {
		<-counter.started
	}
	answered := make(chan reply, 1)
	go func() { answered <- d.book("under-way", 10*time.Second) }()
	<-counter.started
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGTERM)
	if got := <-answered; got.status != http.StatusOK || got.body != "booked" {
		t.Errorf("under way: %d %q %v", got.status, got.body, got.err)
	}
	if err := d.command.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	counter.checkAtMostOnce(t)
}
