package daemon

import (
	"sync/atomic"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/admission/pace"
)

// paceGate connects the pacer of the backend server with the admission, whose lock guards it.
type paceGate struct {
	daemon  *Daemon
	pacer   *pace.Pacer
	service atomic.Pointer[string] // of the backend server that announced itself last
}

func newPaceGate(d *Daemon) *paceGate {
	g := &paceGate{daemon: d}
	g.pacer = pace.New(pace.WithLearning(d.settings.LearnPace), pace.WithEvents(g.handleEvent))
	return g
}

// hearPace passes an accepted announcement to the pacer.
func (d *Daemon) hearPace(announcement Announcement, isNew bool) {
	d.pace.service.Store(&announcement.Service)
	d.pace.reconfigure(d.snapshot())
	d.admitter.locked(func() {
		d.pace.pacer.Hear(time.Now(), pace.Word{New: isNew, ColdLeft: announcement.ColdLeft, Slots: announcement.Slots})
	})
}

// reconfigure applies the cold rate of the backend server's service.
func (g *paceGate) reconfigure(snapshot configuration.Snapshot) {
	name := g.service.Load()
	if name == nil {
		return
	}
	service, known := snapshot.Service(*name)
	if !known {
		return
	}
	g.daemon.admitter.locked(func() {
		g.pacer.Learn(g.daemon.settings.LearnPace || service.LearnPace)
		g.pacer.Configure(time.Now(), service.ColdRate, service.ColdStart)
	})
}

// share returns the share of its usual calls that the backend server asks for, see target.Target.Pace.
func (g *paceGate) share() (share int) {
	g.daemon.admitter.locked(func() { share = g.pacer.Share() })
	return share
}

func (g *paceGate) stats() (stats pace.Stats) {
	g.daemon.admitter.locked(func() { stats = g.pacer.Stats(time.Now()) })
	return stats
}

// handleEvent logs a change of the pace and announces the new share. The admitter is locked.
func (g *paceGate) handleEvent(e pace.Event) {
	g.daemon.logger.Info().Str("change", string(e.Kind)).Float64("rate", e.Rate).Int("share", e.Share).
		Int64("cold-left-ms", e.ColdLeft.Milliseconds()).Msg("daemon: pace of the backend server changed")
	g.daemon.link.requestHeartbeat()
}
