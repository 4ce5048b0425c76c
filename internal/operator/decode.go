package operator

import (
	"fmt"
	"net/netip"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

func publishedOf(p *oas.Published) configuration.PublishResult {
	published := configuration.PublishResult{
		Kind: configuration.Outcome(p.Kind), Revision: p.Revision, Winner: p.Winner.Or(0),
	}
	for _, problem := range p.Problems {
		published.Problems = append(published.Problems, configuration.Problem{
			File:     problem.File.Or(""),
			Line:     problem.Line.Or(0),
			Name:     problem.Name.Or(""),
			Found:    problem.Found.Or(""),
			Expected: problem.Expected,
		})
	}
	return published
}

func revisionOf(r *oas.Revision) (Revision, error) {
	changes, err := changesOf(r.Objects)
	if err != nil {
		return Revision{}, err
	}
	set, err := configuration.Set{}.Apply(changes)
	if err != nil {
		return Revision{}, fmt.Errorf("reading revision %d: %w", r.Revision, err)
	}
	return Revision{Number: r.Revision, Set: set}, nil
}

func changesOf(changes []oas.Change) ([]configuration.Change, error) {
	from := make([]configuration.Change, 0, len(changes))
	for _, c := range changes {
		change := configuration.Change{Kind: configuration.Kind(c.Kind), Name: c.Name, Removed: c.Removed.Or(false)}
		if body, ok := c.Body.Get(); ok && !change.Removed {
			encoded, err := body.MarshalJSON()
			if err != nil {
				return nil, fmt.Errorf("reading %s %s: %w", c.Kind, c.Name, err)
			}
			change.Body = encoded
		}
		from = append(from, change)
	}
	return from, nil
}

func entryOf(e oas.Entry) configuration.HistoryEntry {
	return configuration.HistoryEntry{
		Revision: e.Revision,
		At:       e.At,
		ID:       e.ID,
		Author:   e.Author.Or(""),
		Comment:  e.Comment.Or(""),
		Changes:  e.Changes,
	}
}

func targetOf(t oas.Target) Target {
	return Target{
		Name:          t.Name,
		Service:       t.Service,
		FailureDomain: t.FailureDomain,
		Daemon:        t.Daemon,
		Address:       addressOf(t.Address),
		Incarnation:   t.Incarnation,
		State:         t.State,
		Slots:         t.Slots,
		InFlight:      t.InFlight,
		Connections:   t.Connections,
	}
}

func quarantineEntryOf(e oas.QuarantineEntry) QuarantineEntry {
	remaining, _ := time.ParseDuration(e.Remaining)
	return QuarantineEntry{Fingerprint: e.Fingerprint, State: e.State, Remaining: remaining, Crashes: e.Crashes}
}

func memberOf(m oas.Member) Member {
	return Member{Name: m.Name, Address: addressOf(m.Address), Role: Role(m.Role), Match: m.Match}
}

func statusOf(s *oas.Status) Status {
	return Status{
		Process:       s.Process,
		Cluster:       s.Cluster,
		Leader:        s.Leader,
		LeaderAddress: addressOf(s.LeaderAddress.Or("")),
		Term:          s.Term,
		Applied:       s.Applied,
		Revision:      s.Revision,
		Daemons:       mapped(s.Daemons, daemonOf),
	}
}

func daemonOf(d oas.Daemon) Daemon {
	return Daemon{
		Name:             d.Name,
		FailureDomain:    d.FailureDomain,
		Revision:         d.Revision,
		OperatorsAddress: addressOf(d.OperatorsAddress),
	}
}

// addressOf returns the address in text, not valid where there is none.
func addressOf(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}

func failureOf(f oas.Failure) *Failure {
	return &Failure{
		Kind:          FailureKind(f.Kind),
		Detail:        f.Detail,
		Leader:        f.Leader.Or(""),
		LeaderAddress: addressOf(f.LeaderAddress.Or("")),
	}
}
