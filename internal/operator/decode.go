package operator

import (
	"fmt"
	"net/netip"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

func decodePublishResult(p *oas.Published) configuration.PublishResult {
	result := configuration.PublishResult{
		Kind: configuration.Outcome(p.Kind), Revision: p.Revision, Winner: p.Winner.Or(0),
	}
	for _, problem := range p.Problems {
		result.Problems = append(result.Problems, configuration.Problem{
			File:     problem.File.Or(""),
			Line:     problem.Line.Or(0),
			Name:     problem.Name.Or(""),
			Found:    problem.Found.Or(""),
			Expected: problem.Expected,
		})
	}
	return result
}

func decodeRevision(r *oas.Revision) (Revision, error) {
	changes, err := decodeChanges(r.Objects)
	if err != nil {
		return Revision{}, err
	}
	set, err := configuration.Set{}.Apply(changes)
	if err != nil {
		return Revision{}, fmt.Errorf("reading revision %d: %w", r.Revision, err)
	}
	return Revision{Number: r.Revision, Set: set}, nil
}

func decodeChanges(changes []oas.Change) ([]configuration.Change, error) {
	decoded := make([]configuration.Change, 0, len(changes))
	for _, c := range changes {
		change := configuration.Change{Kind: configuration.Kind(c.Kind), Name: c.Name, Removed: c.Removed.Or(false)}
		if body, ok := c.Body.Get(); ok && !change.Removed {
			encoded, err := body.MarshalJSON()
			if err != nil {
				return nil, fmt.Errorf("reading %s %s: %w", c.Kind, c.Name, err)
			}
			change.Body = encoded
		}
		decoded = append(decoded, change)
	}
	return decoded, nil
}

func decodeHistoryEntry(e oas.Entry) configuration.HistoryEntry {
	return configuration.HistoryEntry{
		Revision: e.Revision,
		At:       e.At,
		ID:       e.ID,
		Author:   e.Author.Or(""),
		Comment:  e.Comment.Or(""),
		Changes:  e.Changes,
	}
}

func decodeTarget(t oas.Target) Target {
	return Target{
		Name:          t.Name,
		Service:       t.Service,
		FailureDomain: t.FailureDomain,
		Daemon:        t.Daemon,
		Address:       parseAddress(t.Address),
		Incarnation:   t.Incarnation,
		State:         t.State,
		Slots:         t.Slots,
		InFlight:      t.InFlight,
		Connections:   t.Connections,
	}
}

func decodeQuarantineEntry(e oas.QuarantineEntry) QuarantineEntry {
	remaining, _ := time.ParseDuration(e.Remaining)
	return QuarantineEntry{Fingerprint: e.Fingerprint, State: e.State, Remaining: remaining, Crashes: e.Crashes}
}

func decodeFailureDomains(d *oas.FailureDomains) FailureDomains {
	return FailureDomains{
		Version: d.Version,
		Daemons: d.Daemons,
		InForce: d.InForce,
		Domains: mapSlice(d.Domains, decodeFailureDomain),
	}
}

func decodeFailureDomain(d oas.FailureDomain) FailureDomain {
	outFor, _ := time.ParseDuration(d.OutFor)
	return FailureDomain{Name: d.Name, OutOfUse: d.OutOfUse, OutFor: outFor, Daemons: d.Daemons, Targets: d.Targets}
}

func decodeMember(m oas.Member) Member {
	return Member{Name: m.Name, Address: parseAddress(m.Address), Role: Role(m.Role), Match: m.Match}
}

func decodeStatus(s *oas.Status) Status {
	return Status{
		Process:       s.Process,
		Cluster:       s.Cluster,
		Leader:        s.Leader,
		LeaderAddress: parseAddress(s.LeaderAddress.Or("")),
		Term:          s.Term,
		Applied:       s.Applied,
		Revision:      s.Revision,
		OutOfUse:      s.OutOfUse,
		Daemons:       mapSlice(s.Daemons, decodeDaemon),
	}
}

func decodeDaemon(d oas.Daemon) Daemon {
	return Daemon{
		Name:             d.Name,
		FailureDomain:    d.FailureDomain,
		Revision:         d.Revision,
		OperatorsAddress: parseAddress(d.OperatorsAddress),
	}
}

// parseAddress returns the address in text, or the invalid zero value if text is empty or malformed.
func parseAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

func decodeFailure(f oas.Failure) *Failure {
	return &Failure{
		Kind:          FailureKind(f.Kind),
		Detail:        f.Detail,
		Leader:        f.Leader.Or(""),
		LeaderAddress: parseAddress(f.LeaderAddress.Or("")),
	}
}
