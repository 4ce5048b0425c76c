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
	suspectReportTimeout    = time.Second // for one report
	suspectRetryPeriod      = time.Minute // for all reports of a crash after the first
	localQuarantineDuration = 10 * time.Second
)

// probeCrash reports whether the backend server fails to accept a new connection within crashProbeTimeout.
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

// A crashReport is the report of one crash to the control leader.
type crashReport struct {
	incarnation uint64
	done        chan struct{} // closed once the first report has succeeded or failed
}

// crashReports lets one of the calls that a crash broke report it, while the others wait for the report.
type crashReports struct {
	mu     sync.Mutex
	latest *crashReport
}

// getOrCreate returns the report of the crash of incarnation, and true if the caller must send it.
func (c *crashReports) getOrCreate(incarnation uint64) (*crashReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest != nil && c.latest.incarnation == incarnation {
		return c.latest, false
	}
	c.latest = &crashReport{incarnation: incarnation, done: make(chan struct{})}
	return c.latest, true
}

// handleCrash reports the calls that were in flight at the crashed incarnation as suspects. It returns once all daemons
// have received the suspects, or after suspectReportTimeout.
func (d *Daemon) handleCrash(name string, incarnation uint64) {
	report, first := d.crashes.getOrCreate(incarnation)
	if !first {
		<-report.done
		return
	}
	defer close(report.done)
	d.backend.markCrashed(incarnation)
	suspects := d.inFlightRuns.Crash()
	crash := fmt.Sprintf("%s/%d", name, incarnation)
	d.counters.crashes.Add(1)
	d.record("crash", fmt.Sprintf("backend server %s crashed with %d requests in flight", name, len(suspects)))
	d.logger.Error().Str("target", name).Int("suspects", len(suspects)).Msg("daemon: backend server crashed")
	if !d.reportSuspects(crash, name, suspects) {
		go d.retrySuspectReport(crash, name, suspects)
	}
}

// reportSuspects sends the suspects to control once. It returns true if all daemons received them within
// suspectReportTimeout.
func (d *Daemon) reportSuspects(crash, name string, suspects []quarantine.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), suspectReportTimeout)
	defer cancel()
	return d.link.reportSuspects(ctx, crash, name, suspects)
}

// retrySuspectReport repeats a report that may be lost because the leader failed. Control counts each crash only once.
func (d *Daemon) retrySuspectReport(crash, name string, suspects []quarantine.Fingerprint) {
	for end := time.Now().Add(suspectRetryPeriod); time.Now().Before(end) && !d.stopping.Load(); {
		if d.reportSuspects(crash, name, suspects) {
			return
		}
		time.Sleep(reconnectJitter)
	}
}

// quarantineLocally quarantines the request of c, which crashed a target, at this daemon for localQuarantineDuration,
// or until the register of control contains the request.
func (d *Daemon) quarantineLocally(c *call) {
	now := time.Now()
	d.quarantine.QuarantineLocally(now, c.fingerprint, now.Add(localQuarantineDuration))
}
