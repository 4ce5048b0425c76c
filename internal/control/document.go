package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/operator"
)

var errNotLeader = operator.NewFailure(operator.NotLeader, "another instance leads, or none does")

// A DocumentPublisher publishes one document while all other publishes wait.
type DocumentPublisher struct {
	control *Control
	base    uint64
	content []byte
	id      string
	leave   func()
}

// BeginDocument waits until no other publish is under way, for a document based on version base. It fails with NotLeader
// if this instance does not hold the leader lease, without the name of the leader, and with Unavailable if ctx ends first.
// End must be called afterwards.
func (c *Control) BeginDocument(ctx context.Context, content []byte, base uint64) (*DocumentPublisher, error) {
	if !c.LeadsNow() {
		return nil, errNotLeader
	}
	leave, err := c.publishGate.enter(ctx)
	if err != nil {
		return nil, err
	}
	hash := sha256.New()
	fmt.Fprintf(hash, "%d\x00", base)
	hash.Write(content)
	return &DocumentPublisher{control: c, base: base, content: content, id: hex.EncodeToString(hash.Sum(nil)), leave: leave}, nil
}

// End lets the next publish begin.
func (p *DocumentPublisher) End() { p.leave() }

// Settled returns the result of the publish if it is certain before the document is decoded: the first result of a
// repeated publish, or a conflict with a later version.
func (p *DocumentPublisher) Settled() (result configuration.PublishResult, settled bool) {
	if !p.control.LeadsNow() {
		return result, false
	}
	p.control.store.Read(func() { result, settled = p.control.state.configuration.SettledResult(p.id, p.base) })
	return result, settled
}

// Publish publishes the set built from the document. Publishing the same document on the same base again returns the first
// result; an invalid set is rejected without an entry in the log. It fails as Control.Publish does, except that a NotLeader
// failure from a lost lease does not name the leader.
func (p *DocumentPublisher) Publish(ctx context.Context, version uint64, set configuration.Set, author string) (configuration.PublishResult, error) {
	if !p.control.LeadsNow() {
		return configuration.PublishResult{}, errNotLeader
	}
	if err := set.Check(); err != nil {
		return configuration.Rejected(err), nil
	}
	return p.control.Publish(ctx, configuration.PublishRequest{
		ID:     p.id,
		Author: author,
		Set:    set,
		Source: &configuration.Source{Version: version, Base: p.base, Document: p.content},
	})
}

// LeadsNow reports whether this instance holds the leader lease.
func (c *Control) LeadsNow() bool {
	return c.store.HoldsLease(boottime.Now())
}

// Document returns the document of the set in force, or nil if that set has none. It fails with NotLeader if this
// instance does not hold the leader lease, because its copy may be outdated.
func (c *Control) Document(ctx context.Context) (*configuration.Source, error) {
	var current *configuration.Source
	c.store.Read(func() { current = c.state.configuration.Source() })
	if !c.LeadsNow() {
		return nil, errNotLeader
	}
	return current, ctx.Err()
}

// LeaderAddress returns the peer address of the leader and reports whether another instance is known to lead.
func (c *Control) LeaderAddress() (netip.AddrPort, bool) {
	name, address, known := c.store.Leader()
	return address, known && name != c.settings.Name
}
