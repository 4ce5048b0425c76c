package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"sapphirespread.example/quarantine"
)

const (
	crashProbeTimeout       = 200 * time.Millisecond
	suspectReportTimeout    = time.Second
	suspectRetryPeriod      = time.Minute
	localQuarantineDuration = 10 * time.Second
)

// probeCrash dials the backend server after a connection failed, and reports whether it is gone.
func probeCrash(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// A crashReport is the spreading of the suspects of one crash.
type crashReport struct {
	incarnation uint64
	done        chan struct{}
}

// A crashReports makes one report of each crash, for which all calls that it broke wait.
type crashReports struct {
	mu     sync.Mutex
	latest *crashReport
}

// open returns the report of incarnation's crash, and whether the caller is to make it.
func (c *crashReports) getOrCreate(incarnation uint64) (*crashReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest != nil && c.latest.incarnation == incarnation {
		return c.latest, false
	}
	c.latest = &crashReport{incarnation: incarnation, done: make(chan struct{})}
	return c.latest, true
}

// handleCrash reports the calls that were in flight at the crashed incarnation, and returns once
// the suspects have been spread to all daemons or the bound has passed.
func (d *Daemon) handleCrash(name string, incarnation uint64) {
	report, first := d.crashes.getOrCreate(incarnation)
	if !first {
		<-report.done
		return
	}
	defer close(report.done)
	d.backend.crashed(incarnation)
	suspects := d.watch.Crash()
	crash := fmt.Sprintf("%s/%d", name, incarnation)
	d.counters.crashes.Add(1)
	d.record("crash", fmt.Sprintf("backend server %s crashed with %d requests in flight", name, len(suspects)))
	d.logger.Error().Str("target", name).Int("suspects", len(suspects)).Msg("daemon: backend server crashed")
	if !d.reportSuspects(crash, name, suspects) {
		go d.retrySuspectReport(crash, name, suspects)
	}
}

// spreadSuspects reports once, and reports whether control has spread the suspects within the bound.
func (d *Daemon) reportSuspects(crash, name string, suspects []quarantine.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), suspectReportTimeout)
	defer cancel()
	return d.link.reportSuspects(ctx, crash, name, suspects)
}

// spreadLate repeats a report that a lost leader may have taken with it; a crash counts once.
func (d *Daemon) retrySuspectReport(crash, name string, suspects []quarantine.Fingerprint) {
	for end := time.Now().Add(suspectRetryPeriod); time.Now().Before(end) && !d.stopping.Load(); {
		if d.reportSuspects(crash, name, suspects) {
			return
		}
		time.Sleep(reconnectSpread)
	}
}

// holdCrasher refuses the request of c here until the register knows of the crash that it saw.
func (d *Daemon) quarantineLocally(c *call) {
	now := time.Now()
	d.quarantine.QuarantineLocally(now, c.fingerprint, now.Add(localQuarantineDuration))
}
