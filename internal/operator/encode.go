package operator

import (
	"fmt"
	"net/netip"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

func mapSlice[From, To any](from []From, convert func(From) To) []To {
	to := make([]To, 0, len(from))
	for _, f := range from {
		to = append(to, convert(f))
	}
	return to
}

func encodePublishResult(p configuration.PublishResult) *oas.Published {
	encoded := &oas.Published{Kind: oas.Answer(p.Kind), Revision: p.Revision}
	if p.Winner > 0 {
		encoded.Winner.SetTo(p.Winner)
	}
	for _, problem := range p.Problems {
		encoded.Problems = append(encoded.Problems, oas.Problem{
			File:     optionalString(problem.File),
			Line:     oas.OptInt{Value: problem.Line, Set: problem.Line > 0},
			Name:     optionalString(problem.Name),
			Found:    optionalString(problem.Found),
			Expected: problem.Expected,
		})
	}
	return encoded
}

func encodeRevision(r Revision, err error) (*oas.Revision, error) {
	if err != nil {
		return nil, err
	}
	objects, err := encodeChanges(r.Set.Changes(configuration.Set{}))
	return &oas.Revision{Revision: r.Number, Objects: objects}, err
}

func encodeChanges(changes []configuration.Change) ([]oas.Change, error) {
	encoded := make([]oas.Change, 0, len(changes))
	for _, c := range changes {
		change := oas.Change{Kind: oas.Kind(c.Kind), Name: c.Name}
		if c.Removed {
			change.Removed.SetTo(true)
			encoded = append(encoded, change)
			continue
		}
		var body oas.Body
		if err := body.UnmarshalJSON(c.Body); err != nil {
			return nil, fmt.Errorf("encoding %s %s: %w", c.Kind, c.Name, err)
		}
		change.Body.SetTo(body)
		encoded = append(encoded, change)
	}
	return encoded, nil
}

func encodeHistoryEntry(e configuration.HistoryEntry) oas.Entry {
	return oas.Entry{
		Revision: e.Revision,
		At:       e.At,
		ID:       e.ID,
		Author:   optionalString(e.Author),
		Comment:  optionalString(e.Comment),
		Changes:  e.Changes,
	}
}

func encodeTarget(t Target) oas.Target {
	return oas.Target{
		Name:          t.Name,
		Service:       t.Service,
		FailureDomain: t.FailureDomain,
		Daemon:        t.Daemon,
		Address:       formatAddress(t.Address),
		Incarnation:   t.Incarnation,
		State:         t.State,
		Slots:         t.Slots,
		InFlight:      t.InFlight,
		Connections:   t.Connections,
	}
}

func encodeQuarantineEntry(e QuarantineEntry) oas.QuarantineEntry {
	return oas.QuarantineEntry{
		Fingerprint: e.Fingerprint,
		State:       e.State,
		Remaining:   e.Remaining.String(),
		Crashes:     append([]string{}, e.Crashes...),
	}
}

func encodeFailureDomains(d FailureDomains) *oas.FailureDomains {
	return &oas.FailureDomains{
		Version: d.Version,
		Daemons: d.Daemons,
		InForce: d.InForce,
		Domains: mapSlice(d.Domains, encodeFailureDomain),
	}
}

func encodeFailureDomain(d FailureDomain) oas.FailureDomain {
	return oas.FailureDomain{
		Name:     d.Name,
		OutOfUse: d.OutOfUse,
		OutFor:   d.OutFor.String(),
		Daemons:  d.Daemons,
		Targets:  d.Targets,
	}
}

func encodeMember(m Member) oas.Member {
	return oas.Member{
		Name: m.Name, Address: formatAddress(m.Address), Role: oas.MemberRole(m.Role), Match: m.Match,
	}
}

func encodeStatus(s Status) *oas.Status {
	return &oas.Status{
		Process:       s.Process,
		Cluster:       s.Cluster,
		Leader:        s.Leader,
		LeaderAddress: optionalString(formatAddress(s.LeaderAddress)),
		Term:          s.Term,
		Applied:       s.Applied,
		Revision:      s.Revision,
		OutOfUse:      s.OutOfUse,
		Daemons:       mapSlice(s.Daemons, encodeDaemon),
	}
}

func encodeDaemon(d Daemon) oas.Daemon {
	return oas.Daemon{
		Name:             d.Name,
		FailureDomain:    d.FailureDomain,
		Revision:         d.Revision,
		OperatorsAddress: formatAddress(d.OperatorsAddress),
	}
}

// formatAddress returns the address as text, or the empty string if the address is invalid.
func formatAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func optionalString(text string) oas.OptString {
	return oas.OptString{Value: text, Set: text != ""}
}
