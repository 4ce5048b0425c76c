package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/claim"
	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/internal/store"
	"sapphirespread.example/replica"
)

// A Recovery forces a stopped instance to go on without the majority of its cluster.
type Recovery struct {
	settings settings.Control
	opened   *store.Recovery
	state    *state
}

// A RecoveryReport tells what a stopped instance holds and what it would become.
type RecoveryReport struct {
	Name       string              `json:"name"`
	Role       replica.Role        `json:"role"`
	LastTerm   uint64              `json:"last-term"`
	LastIndex  uint64              `json:"last-index"`
	LastAt     time.Time           `json:"last-at"`
	Lost       []string            `json:"lost"`
	Generation uint64              `json:"generation"`
	Revision   uint64              `json:"revision"`
	Recovered  uint64              `json:"recovered-revision"`
	Claims     claim.RegistryStats `json:"claims"`
}

// OpenRecovery reads the data folder of a stopped instance and keeps it locked until Close; it changes nothing.
func OpenRecovery(s settings.Control) (*Recovery, error) {
	opened, err := store.OpenRecovery(New(s).storeSettings())
	if err != nil {
		return nil, err
	}
	r := &Recovery{settings: s, opened: opened, state: newState()}
	if err := opened.Load(r.state); err != nil {
		return nil, errors.Join(err, opened.Close())
	}
	return r, nil
}

// Report tells what the instance holds and what it would become.
func (r *Recovery) Report() RecoveryReport {
	index, term, at := r.opened.LastEntry()
	revision := r.state.configuration.Revision()
	report := RecoveryReport{
		Name:       r.opened.Name,
		Role:       r.opened.Member.Role,
		LastTerm:   term,
		LastIndex:  index,
		LastAt:     at,
		Generation: r.opened.Persisted.HardState.Lineage.Generation + 1,
		Revision:   revision,
		Recovered:  (revision/configuration.GenerationRevisionSpan + 1) * configuration.GenerationRevisionSpan,
		Claims:     r.state.claims.Stats(),
	}
	for _, member := range r.opened.Members() {
		if member.ID != r.opened.ID {
			report.Lost = append(report.Lost, member.Name)
		}
	}
	return report
}

// Force makes the instance the only voter of a new generation. With runUntimed, keys without a time run at once.
func (r *Recovery) Force(now time.Time, author string, runUntimed bool) error {
	report := r.Report()
	command, err := proto.Marshal(&controlpb.Command{Body: &controlpb.Command_Recovery{Recovery: &controlpb.ForcedRecovery{
		Author:     author,
		Comment:    fmt.Sprintf("forced recovery of generation %d from %s at revision %d", report.Generation, report.Name, report.Revision),
		RunUntimed: runUntimed,
	}}})
	if err != nil {
		return fmt.Errorf("encoding the recovery: %w", err)
	}
	return r.opened.Force(now, command)
}

// Running returns the lost members that still answer at the addresses of the log or the settings. They would be
// stopped for good by the new generation.
func (r *Recovery) Running(ctx context.Context, config *tls.Config) []string {
	self := peer.Identity{Cluster: r.settings.Cluster, Process: r.settings.Name, Incarnation: uint64(time.Now().UnixNano())}
	pool := peer.NewPool(self, peer.WithPoolTLS(config))
	defer pool.Close()
	var running []string
	for _, member := range r.opened.Members() {
		if member.ID != r.opened.ID && r.answers(ctx, pool, member) {
			running = append(running, member.Name)
		}
	}
	return running
}

func (r *Recovery) answers(ctx context.Context, pool *peer.Pool, member replica.Member) bool {
	addresses := []netip.AddrPort{member.Address}
	for _, configured := range r.settings.Members {
		if configured.Name == member.Name && configured.Address != member.Address {
			addresses = append(addresses, configured.Address)
		}
	}
	for _, address := range addresses {
		opening, cancel := context.WithTimeout(ctx, attachTimeout)
		stream, err := pool.Open(opening, address, kindOperators)
		cancel()
		if err == nil {
			stream.Abort()
			return true
		}
	}
	return false
}

// Close releases the folder.
func (r *Recovery) Close() error {
	return r.opened.Close()
}
