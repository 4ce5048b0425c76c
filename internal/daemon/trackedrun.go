package daemon

import (
	"context"
	"time"

	"sapphirespread.example/quarantine"
	"sapphirespread.example/refusal"
)

// A trackedRun is a run whose fingerprint is recorded as in flight at the backend server. If the fingerprint is
// suspected of a crash, the run is a trial.
type trackedRun struct {
	daemon      *Daemon
	target      string
	fingerprint quarantine.Fingerprint
	trial       bool
	run         quarantine.Run
}

// trackRun records the fingerprint of c as in flight before the request is sent. It refuses a quarantined request, and
// a suspect for which control allows no trial at this target.
func (d *Daemon) trackRun(ctx context.Context, c *call, targetName string) (*trackedRun, *attemptError) {
	tracked := &trackedRun{daemon: d, target: targetName, fingerprint: c.fingerprint}
	switch d.quarantine.State(time.Now(), c.fingerprint) {
	case quarantine.Quarantined:
		return nil, refuse(refusal.Quarantined, "")
	case quarantine.Suspect:
		if !d.link.requestTrial(ctx, c.fingerprint, targetName) {
			return nil, refuse(refusal.Quarantined, "the request is suspected of a crash and has no trial here")
		}
		tracked.trial = true
	}
	tracked.run = d.inFlightRuns.Start(c.fingerprint)
	return tracked, nil
}

// end records the end of the run. A complete run of a suspect clears it, and another one only ends its trial.
func (r *trackedRun) end(complete bool) {
	survived := r.daemon.inFlightRuns.End(r.run)
	suspect := r.trial || r.daemon.quarantine.State(time.Now(), r.fingerprint) == quarantine.Suspect
	switch {
	case !survived || !suspect:
	case complete:
		r.daemon.link.reportCompletion(r.fingerprint, r.target)
	case r.trial:
		r.daemon.link.endTrial(r.fingerprint, r.target)
	}
}
