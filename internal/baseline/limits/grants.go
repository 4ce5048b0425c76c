package limits

import (
	"fmt"
	"time"

	"sapphirespread.example/limit"
)

const daemonTick = 5 * time.Millisecond

// simulatedDaemon holds the tokens of one daemon and the requests that wait for them, by workspace.
type simulatedDaemon struct {
	name   string
	holder *limit.Holder
	queues map[string]*limit.Queue[*request]
}

// grants simulates the grants of package limit, with one limit.Owner and one limit.Holder per daemon.
type grants struct {
	*simulation
	owner   *limit.Owner
	ownerUp bool
	pollAt  time.Time
	daemons []*simulatedDaemon
}

func newGrants(r *simulation) *grants {
	s := &grants{simulation: r, ownerUp: true, owner: limit.NewOwner(r.now.Add(-time.Nanosecond))}
	s.owner.SetBuckets(r.now, r.buckets())
	for i := range r.scenario.Daemons {
		d := &simulatedDaemon{
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

func (s *grants) tick(d *simulatedDaemon) {
	s.sendPending(d)
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
	s.after(s.scenario.QueueTimeout, func() { s.expireWait(d, workspace, q) })
	s.sendPending(d)
}

func (s *grants) expireWait(d *simulatedDaemon, workspace string, q *request) {
	if d.queues[workspace].Remove(q) {
		d.holder.Unwait(workspace)
		s.refuse(q)
	}
}

func (s *grants) sendPending(d *simulatedDaemon) {
	owner := s.owner
	for _, r := range d.holder.CollectReturns(s.now) {
		s.send(func() { s.deliverToOwner(owner, func() { owner.Return(s.now, d.name, r) }) })
	}
	for _, ask := range d.holder.GrantRequests(s.now) {
		s.send(func() { s.deliverToOwner(owner, func() { s.requestGrant(d, ask) }) })
	}
}

// deliverToOwner handles a message to owner, unless that owner has been lost or replaced.
func (s *grants) deliverToOwner(owner *limit.Owner, run func()) {
	if !s.ownerUp || s.owner != owner {
		return
	}
	run()
	s.poll()
}

func (s *grants) requestGrant(d *simulatedDaemon, ask limit.GrantRequest) {
	if g, answered := s.owner.Request(s.now, d.name, ask); answered {
		s.send(func() { s.acceptGrant(d, g) })
	}
}

func (s *grants) poll() {
	if !s.ownerUp {
		return
	}
	for _, answer := range s.owner.Poll(s.now) {
		for _, d := range s.daemons {
			if d.name == answer.Holder {
				s.send(func() { s.acceptGrant(d, answer.Grant) })
			}
		}
	}
	next, scheduled := s.owner.Next(s.now)
	if !scheduled || s.pollAt.After(s.now) && !next.Before(s.pollAt) {
		return
	}
	s.pollAt = next
	s.at(next, s.poll)
}

func (s *grants) acceptGrant(d *simulatedDaemon, g limit.Grant) {
	if !d.holder.Accept(s.now, g) {
		s.refuseNext(d, g)
		return
	}
	queue := d.queues[g.Workspace]
	for queue.Len() > 0 && d.holder.Spend(s.now, g.Workspace, 1) {
		q, _ := queue.Pop(s.now)
		d.holder.Unwait(g.Workspace)
		s.admit(q)
		s.recordFailover()
	}
	s.sendPending(d)
}

// refuseNext refuses the request that would be served next if the owner expects no token within the queue timeout.
func (s *grants) refuseNext(d *simulatedDaemon, g limit.Grant) {
	if g.RetryAfter < s.scenario.QueueTimeout {
		return
	}
	if q, ok := d.queues[g.Workspace].Pop(s.now); ok {
		d.holder.Unwait(g.Workspace)
		s.refuse(q)
	}
}

// recordFailover sets FailoverTime at the first admission after a new owner has started.
func (s *grants) recordFailover() {
	lost := s.start.Add(s.scenario.OwnerLostAt)
	if s.scenario.OwnerLostAt > 0 && s.report.FailoverTime == 0 && s.now.After(lost.Add(s.scenario.OwnerDowntime)) {
		s.report.FailoverTime = s.now.Sub(lost)
	}
}

func (s *grants) loseOwner() { s.ownerUp = false }

func (s *grants) replaceOwner() {
	s.ownerUp = true
	holdOff := limit.HoldOff(limit.DefaultGrantDuration, limit.DefaultClockRateMargin)
	s.owner = limit.NewOwner(s.now, limit.WithOwnerStart(holdOff))
	s.owner.SetBuckets(s.now, s.buckets())
	for _, d := range s.daemons {
		d.holder.Disconnect(s.now)
		s.sendPending(d)
	}
}
