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

var errElsewhere = operator.NewFailure(operator.NotLeader, "another instance leads, or none does")

// PublishDocument puts the set that was made from a document in force. A document that has been answered for before gets the same answer. It fails as Publish does, but does
// not name the leader.
func (c *Control) PublishDocument(ctx context.Context, source configuration.Source, set configuration.Set, author string) (configuration.PublishResult, error) {
	if !c.store.Lease(boottime.Now()) {
		return configuration.PublishResult{}, errElsewhere
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\x00%s", source.Base, source.Document))
	return c.Publish(ctx, configuration.PublishRequest{
		ID:     hex.EncodeToString(sum[:]),
		Author: author,
		Set:    set,
		Source: &source,
	})
}

// Document returns the document of the set in force, or nil where there is none. It fails with NotLeader where this
// instance can't show that it is the newest.
func (c *Control) Document(ctx context.Context) (*configuration.Source, error) {
	var current *configuration.Source
	c.store.Read(func() { current = c.state.configuration.Source() })
	if !c.store.Lease(boottime.Now()) {
		return nil, errElsewhere
	}
	return current, ctx.Err()
}

// LeaderAddress returns the peer address of the leader, where another instance is known to lead.
func (c *Control) LeaderAddress() (netip.AddrPort, bool) {
	name, address, known := c.store.Leader()
	return address, known && name != c.settings.Name
}
