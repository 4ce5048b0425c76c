package control

import (
	"errors"
	"slices"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/quarantine"
)

const (
	writeTimeout = 3 * time.Second
	// reasonNoLease is the reason of a redirect by an instance whose lease has ended or has not begun.
	reasonNoLease = "this instance cannot show the leader lease"
)

var errLostLease = errors.New("leader lease lost")

// writeLoop sends queued messages, and pending updates when woken, until the session closes.
func (s *session) writeLoop() error {
	for {
		select {
		case <-s.closed:
			return nil
		case message := <-s.sendQueue:
			if err := s.write(message); err != nil {
				return err
			}
		case <-s.wakeup:
			if err := s.sendUpdates(boottime.Now()); err != nil {
				return err
			}
		}
	}
}

func (s *session) write(message *peerpb.ControlMessage) error {
	_ = s.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.stream.Send(message)
}

// sendUpdates sends changes of the failure domains in use, the configuration, the targets and the quarantine, and then
// confirms the latest heartbeat. The heartbeat is taken before the changes are read, so that its confirmation covers all of them.
func (s *session) sendUpdates(now time.Time) error {
	heartbeat := s.takeHeartbeat()
	if err := s.sendOutOfUse(now); err != nil {
		return err
	}
	revision, err := s.sendConfiguration()
	if err != nil {
		return err
	}
	if err := s.sendMembership(); err != nil {
		return err
	}
	if err := s.sendQuarantine(now); err != nil {
		return err
	}
	return s.confirmHeartbeat(heartbeat, revision)
}

// sendConfiguration sends the configuration changes since the last revision sent, and returns the current revision.
func (s *session) sendConfiguration() (uint64, error) {
	from := s.sent.revision
	var changes []configuration.Change
	var to uint64
	var whole bool
	s.control.store.Read(func() {
		to = s.control.state.configuration.Revision()
		if to != from {
			changes, whole = s.control.state.configuration.Delta(from)
		}
	})
	if to == from {
		return to, nil
	}
	delta := &peerpb.ConfigurationDelta{From: from, To: to, Whole: whole}
	for _, change := range changes {
		delta.Changes = append(delta.Changes, &peerpb.ObjectChange{
			Kind:    string(change.Kind),
			Name:    change.Name,
			Body:    change.Body,
			Removed: change.Removed,
		})
	}
	s.sent.revision = to
	return to, s.write(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Configuration{Configuration: delta}})
}

// sendMembership sends changes of the targets of the services that the daemon calls. It sends all targets the first
// time and when the services change.
func (s *session) sendMembership() error {
	s.mu.Lock()
	services, servicesChanged := s.calledServices, s.servicesChanged
	s.servicesChanged = false
	s.mu.Unlock()
	if len(services) == 0 {
		return nil
	}
	from := s.sent.membership
	if servicesChanged || s.sent.epoch != s.leadership.term || !s.sent.hasTargets {
		from = 0
	}
	s.leadership.targetMu.Lock()
	version := s.leadership.targets.Version()
	if from == version && s.sent.hasTargets && !servicesChanged {
		s.leadership.targetMu.Unlock()
		return nil
	}
	changes, to, whole := s.leadership.targets.Delta(from, services)
	s.leadership.targetMu.Unlock()
	delta := &peerpb.MembershipDelta{Epoch: s.leadership.term, From: from, To: to, Whole: whole}
	for _, change := range changes {
		change.Target.StartedAt = time.Time{} // only the leader needs it
		delta.Changes = append(delta.Changes, &peerpb.MembershipChange{
			Target:  message.EncodeTarget(change.Target),
			Removed: change.Removed,
		})
	}
	s.sent.epoch, s.sent.membership, s.sent.hasTargets = s.leadership.term, to, true
	return s.write(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Membership{Membership: delta}})
}

// sendQuarantine sends the quarantine changes since the last version sent.
func (s *session) sendQuarantine(now time.Time) error {
	from := s.sent.quarantine
	var delta *peerpb.QuarantineDelta
	s.control.store.Read(func() {
		if s.control.state.quarantine.Version() != from {
			delta = quarantineDelta(s.control.state.quarantine, from, now)
		}
	})
	if delta == nil {
		return nil
	}
	if err := s.write(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Quarantine{Quarantine: delta}}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent.quarantine = delta.GetVersion()
	return nil
}

func quarantineDelta(register *quarantine.Register, from uint64, now time.Time) *peerpb.QuarantineDelta {
	entries, cleared, to, whole := register.Delta(from)
	delta := &peerpb.QuarantineDelta{Version: to, Whole: whole}
	for _, entry := range entries {
		encoded := &peerpb.QuarantineEntry{
			Fingerprint: entry.Fingerprint[:],
			State:       string(entry.State),
			RemainingUs: entry.Until.Sub(now).Microseconds(),
		}
		for _, crash := range entry.Crashes {
			encoded.Crashes = append(encoded.Crashes, crash.ID)
		}
		delta.Entries = append(delta.Entries, encoded)
	}
	for _, fingerprint := range cleared {
		delta.Cleared = append(delta.Cleared, fingerprint[:])
	}
	return delta
}

// hasQuarantine reports whether the session has sent the quarantine at the given version or a later one.
func (s *session) hasQuarantine(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent.quarantine >= version
}

// takeHeartbeat removes and returns the latest unconfirmed heartbeat, or nil if there is none.
func (s *session) takeHeartbeat() *peerpb.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	heartbeat := s.pendingHeartbeat
	s.pendingHeartbeat = nil
	return heartbeat
}

// confirmHeartbeat confirms a heartbeat. If this instance no longer holds the leader lease, it redirects the daemon and
// returns errLostLease.
func (s *session) confirmHeartbeat(heartbeat *peerpb.Heartbeat, revision uint64) error {
	if heartbeat == nil {
		return nil
	}
	if !s.control.holdsLease(s.leadership.term) {
		redirect := &peerpb.Redirect{Reason: reasonNoLease}
		_ = s.write(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Redirect{Redirect: redirect}})
		return errLostLease
	}
	confirm := &peerpb.Confirm{
		Sequence:          heartbeat.GetSequence(),
		Revision:          revision,
		MembershipVersion: s.sent.membership,
		QuarantineVersion: s.sent.quarantine,
		Stamp:             s.control.stamp(heartbeat.GetStamp()),
		PressedWorkspaces: s.leadership.pressedWorkspaces(boottime.Now()),
	}
	if addresses := s.control.memberAddresses(); !slices.Equal(addresses, s.sent.controlAddresses) {
		confirm.ControlAddresses, s.sent.controlAddresses = addresses, addresses
	}
	return s.write(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Confirm{Confirm: confirm}})
}
