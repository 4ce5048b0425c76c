package daemon

import (
	"fmt"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/quarantine"
)

// receiveLoop handles messages from control until the stream ends or a message can't be handled.
func (s *linkSession) receiveLoop() error {
	for {
		message := &peerpb.ControlMessage{}
		if err := s.stream.Receive(message); err != nil {
			return err
		}
		if err := s.handle(message); err != nil {
			return err
		}
	}
}

// handle applies one message from control. A redirect ends the session with errRedirected.
func (s *linkSession) handle(message *peerpb.ControlMessage) error {
	switch body := message.GetBody().(type) {
	case *peerpb.ControlMessage_Confirm:
		s.handleConfirmation(body.Confirm)
	case *peerpb.ControlMessage_Configuration:
		return s.applyConfiguration(body.Configuration)
	case *peerpb.ControlMessage_Membership:
		return s.applyMembership(body.Membership)
	case *peerpb.ControlMessage_Grants:
		s.acceptGrants(body.Grants.GetGrants())
	case *peerpb.ControlMessage_Claim:
		s.link.pending.deliver(body.Claim.GetId(), message)
	case *peerpb.ControlMessage_SuspectsSpread:
		s.link.pending.deliver(body.SuspectsSpread.GetId(), message)
	case *peerpb.ControlMessage_Trial:
		s.link.pending.deliver(body.Trial.GetId(), message)
	case *peerpb.ControlMessage_DepartureRecorded:
		s.link.pending.deliver(body.DepartureRecorded.GetId(), message)
	case *peerpb.ControlMessage_Quarantine:
		s.applyQuarantine(body.Quarantine)
	case *peerpb.ControlMessage_OutOfUse:
		s.link.daemon.applyLeaderDomains(body.OutOfUse)
	case *peerpb.ControlMessage_Redirect:
		return fmt.Errorf("%w: %s", errRedirected, body.Redirect.GetReason())
	}
	return nil
}

// handleConfirmation renews the freshness lease, counting from the time at which the confirmed heartbeat was sent.
func (s *linkSession) handleConfirmation(confirmation *peerpb.Confirm) {
	now := boottime.Now()
	s.mu.Lock()
	heartbeat, known := s.unconfirmed[confirmation.GetSequence()]
	delete(s.unconfirmed, confirmation.GetSequence())
	if known {
		s.confirmedAt = now
	}
	s.mu.Unlock()
	if !known {
		return
	}
	d := s.link.daemon
	s.link.setAdvertised(confirmation.GetControlAddresses())
	d.clock.Observe(time.Now(), message.DecodeStamp(confirmation.GetStamp()))
	d.holder.SetPressed(confirmation.GetPressedWorkspaces())
	d.view.Confirm(heartbeat.sentAt, confirmation.GetRevision())
	s.link.called.markKnown(heartbeat.services)
}

// applyConfiguration applies a configuration delta. It fails if the view rejects the delta.
func (s *linkSession) applyConfiguration(delta *peerpb.ConfigurationDelta) error {
	d := s.link.daemon
	changes := make([]configuration.Change, 0, len(delta.GetChanges()))
	for _, change := range delta.GetChanges() {
		changes = append(changes, configuration.Change{
			Kind:    configuration.Kind(change.GetKind()),
			Name:    change.GetName(),
			Body:    change.GetBody(),
			Removed: change.GetRemoved(),
		})
	}
	if err := d.view.Apply(delta.GetFrom(), delta.GetTo(), delta.GetWhole(), changes); err != nil {
		return fmt.Errorf("applying revision %d: %w", delta.GetTo(), err)
	}
	d.budgets.reconfigure(d.snapshot())
	d.pace.reconfigure(d.snapshot())
	d.planEntries(d.snapshot())
	d.record("configuration", fmt.Sprintf("revision %d in force", delta.GetTo()))
	return nil
}

// applyMembership applies a membership delta, without the targets that can't be decoded. A daemon that refused the whole
// delta would attach, get the same delta and refuse it again, and would follow no target anymore.
func (s *linkSession) applyMembership(delta *peerpb.MembershipDelta) error {
	changes := make([]target.Change, 0, len(delta.GetChanges()))
	for _, change := range delta.GetChanges() {
		decoded, err := message.DecodeTarget(change.GetTarget())
		if err != nil && change.GetRemoved() {
			decoded, err = target.Target{Name: change.GetTarget().GetTarget(), Service: change.GetTarget().GetService()}, nil
		}
		if err != nil {
			s.link.daemon.logger.Warn().Err(err).Msg("link: target left out")
			continue
		}
		changes = append(changes, target.Change{Target: decoded, Removed: change.GetRemoved()})
	}
	d := s.link.daemon
	return d.table.Apply(delta.GetEpoch(), delta.GetFrom(), delta.GetTo(), delta.GetWhole(), changes)
}

func (s *linkSession) applyQuarantine(delta *peerpb.QuarantineDelta) {
	now := time.Now()
	entries := make([]quarantine.Entry, 0, len(delta.GetEntries()))
	for _, encoded := range delta.GetEntries() {
		entries = append(entries, quarantine.Entry{
			Fingerprint: message.DecodeFingerprint(encoded.GetFingerprint()),
			State:       quarantine.State(encoded.GetState()),
			Until:       now.Add(time.Duration(encoded.GetRemainingUs()) * time.Microsecond),
		})
	}
	cleared := make([]quarantine.Fingerprint, 0, len(delta.GetCleared()))
	for _, encoded := range delta.GetCleared() {
		cleared = append(cleared, message.DecodeFingerprint(encoded))
	}
	s.link.daemon.quarantine.Apply(delta.GetVersion(), delta.GetWhole(), entries, cleared)
}
