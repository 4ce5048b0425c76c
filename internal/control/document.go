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

// PublishDocument publishes the set built from a document. Publishing the same document on the same base again returns
// the first result. It fails as Publish does, except that a NotLeader failure from a lost lease does not name the
// leader.
func (c *Control) PublishDocument(ctx context.Context, source configuration.Source, set configuration.Set, author string) (configuration.PublishResult, error) {
	if !c.store.HoldsLease(boottime.Now()) {
		return configuration.PublishResult{}, errNotLeader
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\x00%s", source.Base, source.Document))
	return c.Publish(ctx, configuration.PublishRequest{
		ID:     hex.EncodeToString(sum[:]),
		Author: author,
		Set:    set,
		Source: &source,
	})
}

// Document returns the document of the set in force, or nil if that set has none. It fails with NotLeader if this
// instance does not hold the leader lease, because its copy may be outdated.
func (c *Control) Document(ctx context.Context) (*configuration.Source, error) {
	var current *configuration.Source
	c.store.Read(func() { current = c.state.configuration.Source() })
	if !c.store.HoldsLease(boottime.Now()) {
		return nil, errNotLeader
	}
	return current, ctx.Err()
}

// LeaderAddress returns the peer address of the leader and reports whether another instance is known to lead.
func (c *Control) LeaderAddress() (netip.AddrPort, bool) {
	name, address, known := c.store.Leader()
	return address, known && name != c.settings.Name
}
