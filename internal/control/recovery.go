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

// A Recovery restores service from a stopped instance after the majority of its cluster is lost.
type Recovery struct {
	settings settings.Control
	folder   *store.Recovery
	state    *state
}

// A RecoveryReport describes the state of a stopped instance and the generation that a recovery would create.
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

// OpenRecovery reads the data folder of a stopped instance without changing it, and locks it until Close.
func OpenRecovery(s settings.Control) (*Recovery, error) {
	folder, err := store.OpenRecovery(New(s).storeSettings())
	if err != nil {
		return nil, err
	}
	r := &Recovery{settings: s, folder: folder, state: newState()}
	if err := folder.Load(r.state); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return r, nil
}

// Report returns the state of the instance and the generation that Force would create.
func (r *Recovery) Report() RecoveryReport {
	index, term, at := r.folder.LastEntry()
	revision := r.state.configuration.Revision()
	report := RecoveryReport{
		Name:       r.folder.Name,
		Role:       r.folder.Member.Role,
		LastTerm:   term,
		LastIndex:  index,
		LastAt:     at,
		Generation: r.folder.Persisted.HardState.Lineage.Generation + 1,
		Revision:   revision,
		Recovered:  (revision/configuration.GenerationRevisionSpan + 1) * configuration.GenerationRevisionSpan,
		Claims:     r.state.claims.Stats(),
	}
	for _, member := range r.folder.Members() {
		if member.ID != r.folder.ID {
			report.Lost = append(report.Lost, member.Name)
		}
	}
	return report
}

// Force makes the instance the only voter of a new generation; runUntimed lets idempotency keys without a time run
// immediately, although their claims may be lost.
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
	return r.folder.Force(now, command)
}

// Running returns the names of other members that still answer at their addresses from the log or the settings. The
// new generation would stop them permanently.
func (r *Recovery) Running(ctx context.Context, config *tls.Config) []string {
	self := peer.Identity{Cluster: r.settings.Cluster, Process: r.settings.Name, Incarnation: uint64(time.Now().UnixNano())}
	pool := peer.NewPool(self, peer.WithPoolTLS(config))
	defer pool.Close()
	var running []string
	for _, member := range r.folder.Members() {
		if member.ID != r.folder.ID && r.isReachable(ctx, pool, member) {
			running = append(running, member.Name)
		}
	}
	return running
}

// isReachable reports whether a member accepts connections at its address from the log or the settings.
func (r *Recovery) isReachable(ctx context.Context, pool *peer.Pool, member replica.Member) bool {
	addresses := []netip.AddrPort{member.Address}
	for _, configured := range r.settings.Members {
		if configured.Name == member.Name && configured.Address != member.Address {
			addresses = append(addresses, configured.Address)
		}
	}
	for _, address := range addresses {
		openCtx, cancel := context.WithTimeout(ctx, attachTimeout)
		stream, err := pool.Open(openCtx, address, kindOperatorsAddress)
		cancel()
		if err == nil {
			stream.Abort()
			return true
		}
	}
	return false
}

// Close unlocks the data folder.
func (r *Recovery) Close() error {
	return r.folder.Close()
}
