package limits

import (
	"fmt"
	"time"

	"sapphirespread.example/limit"
)

const daemonTick = 5 * time.Millisecond

type waitingDaemon struct {
	name   string
	holder *limit.Holder
	queues map[string]*limit.Queue[*request]
}

// grants runs a limit.Owner and one limit.Holder a daemon.
type grants struct {
	*runner
	owner   *limit.Owner
	up      bool
	pollAt  time.Time
	daemons []*waitingDaemon
}

func newGrants(r *runner) *grants {
	s := &grants{runner: r, up: true, owner: limit.NewOwner(r.now.Add(-time.Nanosecond))}
	s.owner.SetBuckets(r.now, r.buckets())
	for i := range r.scenario.Daemons {
		d := &waitingDaemon{
			name:   fmt.Sprint("daemon-", i),
			holder: limit.NewHolder(),
			queues: make(map[string]*limit.Queue[*request]),
		}
		for _, l := range r.scenario.Loads {
			d.queues[l.Workspace] = limit.NewQueue[*request](limit.DefaultMaximumWaiting)
		}
		s.daemons = append(s.daemons, d)
		s.tick(d)
	}
	return s
}

func (s *grants) tick(d *waitingDaemon) {
	s.flush(d)
	s.after(daemonTick, func() { s.tick(d) })
}

func (s *grants) arrive(q *request) {
	d, workspace := s.daemons[q.daemon], s.workspace(q.load)
	queue := d.queues[workspace]
	if queue.Len() == 0 && d.holder.Spend(s.now, workspace, 1) {
		s.admit(q)
		return
	}
	d.holder.Wait(s.now, workspace)
	if displaced, full := queue.Push(s.now, q); full {
		d.holder.Unwait(workspace)
		s.refuse(displaced)
	}
	s.after(s.scenario.Patience, func() { s.leave(d, workspace, q) })
	s.flush(d)
}

func (s *grants) leave(d *waitingDaemon, workspace string, q *request) {
	if d.queues[workspace].Remove(q) {
		d.holder.Unwait(workspace)
		s.refuse(q)
	}
}

func (s *grants) flush(d *waitingDaemon) {
	owner := s.owner
	for _, r := range d.holder.Idle(s.now) {
		s.send(func() { s.atOwner(owner, func() { owner.Return(s.now, d.name, r) }) })
	}
	for _, ask := range d.holder.Asks(s.now) {
		s.send(func() { s.atOwner(owner, func() { s.ask(d, ask) }) })
	}
}

// atOwner runs what came over a link, unless that owner is lost.
func (s *grants) atOwner(owner *limit.Owner, run func()) {
	if !s.up || s.owner != owner {
		return
	}
	run()
	s.poll()
}

func (s *grants) ask(d *waitingDaemon, ask limit.Ask) {
	if g, answered := s.owner.Ask(s.now, d.name, ask); answered {
		s.send(func() { s.accept(d, g) })
	}
}

func (s *grants) poll() {
	if !s.up {
		return
	}
	for _, answer := range s.owner.Poll(s.now) {
		for _, d := range s.daemons {
			if d.name == answer.Holder {
				s.send(func() { s.accept(d, answer.Grant) })
			}
		}
	}
	next, held := s.owner.Next(s.now)
	if !held || s.pollAt.After(s.now) && !next.Before(s.pollAt) {
		return
	}
	s.pollAt = next
	s.at(next, s.poll)
}

func (s *grants) accept(d *waitingDaemon, g limit.Grant) {
	if !d.holder.Accept(s.now, g) {
		s.giveUp(d, g)
		return
	}
	queue := d.queues[g.Workspace]
	for queue.Len() > 0 && d.holder.Spend(s.now, g.Workspace, 1) {
		q, _ := queue.Pop(s.now)
		d.holder.Unwait(g.Workspace)
		s.admit(q)
		s.noteOwner()
	}
	s.flush(d)
}

// giveUp refuses the request that would be served next, as the owner expects no token in time.
func (s *grants) giveUp(d *waitingDaemon, g limit.Grant) {
	if g.RetryAfter < s.scenario.Patience {
		return
	}
	if q, ok := d.queues[g.Workspace].Pop(s.now); ok {
		d.holder.Unwait(g.Workspace)
		s.refuse(q)
	}
}

func (s *grants) noteOwner() {
	lost := s.start.Add(s.scenario.OwnerLostAt)
	if s.scenario.OwnerLostAt > 0 && s.report.OwnerIdle == 0 && s.now.After(lost.Add(s.scenario.OwnerGap)) {
		s.report.OwnerIdle = s.now.Sub(lost)
	}
}

func (s *grants) loseOwner() { s.up = false }

func (s *grants) replaceOwner() {
	s.up = true
	holdOff := limit.HoldOff(limit.DefaultGrantDuration, limit.DefaultClockRateMargin)
	s.owner = limit.NewOwner(s.now, limit.WithOwnerStart(holdOff))
	s.owner.SetBuckets(s.now, s.buckets())
	for _, d := range s.daemons {
		d.holder.Disconnect(s.now)
		s.flush(d)
	}
}
