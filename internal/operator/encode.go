package operator

import (
	"fmt"
	"net/netip"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/api/oas"
)

func mapped[From, To any](from []From, convert func(From) To) []To {
	to := make([]To, 0, len(from))
	for _, f := range from {
		to = append(to, convert(f))
	}
	return to
}

func publishedTo(p configuration.PublishResult) *oas.Published {
	to := &oas.Published{Kind: oas.Answer(p.Kind), Revision: p.Revision}
	if p.Winner > 0 {
		to.Winner.SetTo(p.Winner)
	}
	for _, problem := range p.Problems {
		to.Problems = append(to.Problems, oas.Problem{
			File:     optional(problem.File),
			Line:     oas.OptInt{Value: problem.Line, Set: problem.Line > 0},
			Name:     optional(problem.Name),
			Found:    optional(problem.Found),
			Expected: problem.Expected,
		})
	}
	return to
}

func revisionTo(r Revision, err error) (*oas.Revision, error) {
	if err != nil {
		return nil, err
	}
	objects, err := changesTo(r.Set.Changes(configuration.Set{}))
	return &oas.Revision{Revision: r.Number, Objects: objects}, err
}

func changesTo(changes []configuration.Change) ([]oas.Change, error) {
	to := make([]oas.Change, 0, len(changes))
	for _, c := range changes {
		change := oas.Change{Kind: oas.Kind(c.Kind), Name: c.Name}
		if c.Removed {
			change.Removed.SetTo(true)
			to = append(to, change)
			continue
		}
		var body oas.Body
		if err := body.UnmarshalJSON(c.Body); err != nil {
			return nil, fmt.Errorf("encoding %s %s: %w", c.Kind, c.Name, err)
		}
		change.Body.SetTo(body)
		to = append(to, change)
	}
	return to, nil
}

func entryTo(e configuration.HistoryEntry) oas.Entry {
	return oas.Entry{
		Revision: e.Revision,
		At:       e.At,
		ID:       e.ID,
		Author:   optional(e.Author),
		Comment:  optional(e.Comment),
		Changes:  e.Changes,
	}
}

func targetTo(t Target) oas.Target {
	return oas.Target{
		Name:          t.Name,
		Service:       t.Service,
		FailureDomain: t.FailureDomain,
		Daemon:        t.Daemon,
		Address:       addressTo(t.Address),
		Incarnation:   t.Incarnation,
		State:         t.State,
		Slots:         t.Slots,
		InFlight:      t.InFlight,
		Connections:   t.Connections,
	}
}

func quarantineEntryTo(e QuarantineEntry) oas.QuarantineEntry {
	return oas.QuarantineEntry{
		Fingerprint: e.Fingerprint,
		State:       e.State,
		Remaining:   e.Remaining.String(),
		Crashes:     append([]string{}, e.Crashes...),
	}
}

func memberTo(m Member) oas.Member {
	return oas.Member{
		Name: m.Name, Address: addressTo(m.Address), Role: oas.MemberRole(m.Role), Match: m.Match,
	}
}

func statusTo(s Status) *oas.Status {
	return &oas.Status{
		Process:       s.Process,
		Cluster:       s.Cluster,
		Leader:        s.Leader,
		LeaderAddress: optional(addressTo(s.LeaderAddress)),
		Term:          s.Term,
		Applied:       s.Applied,
		Revision:      s.Revision,
		Daemons:       mapped(s.Daemons, daemonTo),
	}
}

func daemonTo(d Daemon) oas.Daemon {
	return oas.Daemon{
		Name:             d.Name,
		FailureDomain:    d.FailureDomain,
		Revision:         d.Revision,
		OperatorsAddress: addressTo(d.OperatorsAddress),
	}
}

// addressTo returns the address as text, empty where it is not valid.
func addressTo(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}

func optional(text string) oas.OptString {
	return oas.OptString{Value: text, Set: text != ""}
}
