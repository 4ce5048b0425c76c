package daemon

import (
	"context"
	"time"

	"sapphirespread.example/quarantine"
	"sapphirespread.example/refusal"
)

// A watchedRun is a run whose fingerprint is in flight at the backend server, in a trial where it is a suspect.
type trackedRun struct {
	daemon      *Daemon
	target      string
	fingerprint quarantine.Fingerprint
	trial       bool
	run         quarantine.Run
}

// watchRun notes the fingerprint of c before the backend server sees it; a suspect needs a trial first.
func (d *Daemon) trackRun(ctx context.Context, c *call, targetName string) (*trackedRun, *attemptError) {
	tracked := &trackedRun{daemon: d, target: targetName, fingerprint: c.fingerprint}
	switch d.quarantine.State(time.Now(), c.fingerprint) {
	case quarantine.Quarantined:
		return nil, refuse(refusal.Quarantined, "")
	case quarantine.Suspect:
		if !d.link.askTrial(ctx, c.fingerprint, targetName) {
			return nil, refuse(refusal.Quarantined, "the request is suspected of a crash and has no trial here")
		}
		tracked.trial = true
	}
	tracked.run = d.watch.Start(c.fingerprint)
	return tracked, nil
}

// end notes that the run is over; a whole one clears a suspect.
func (w *trackedRun) end(complete bool) {
	survived := w.daemon.watch.End(w.run)
	suspect := w.trial || w.daemon.quarantine.State(time.Now(), w.fingerprint) == quarantine.Suspect
	switch {
	case !survived || !suspect:
	case complete:
		w.daemon.link.reportRan(w.fingerprint, w.target)
	case w.trial:
		w.daemon.link.endTrial(w.fingerprint, w.target)
	}
}
