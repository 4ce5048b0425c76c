package control

import (
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control/controlpb"
)

// Publish puts a set in force through the log; it fails with NotLeader where another instance leads,
// and with Unavailable where it is not known whether the publish came into force.
func (c *Control) Publish(ctx context.Context, publish configuration.PublishRequest) (configuration.PublishResult, error) {
	c.store.Read(func() { publish = c.state.configuration.ReplaceSetByChanges(publish) })
	encoded, err := publish.MarshalBinary()
	if err != nil {
		return configuration.PublishResult{}, fmt.Errorf("encoding a publish: %w", err)
	}
	command, err := proto.Marshal(&controlpb.Command{Body: &controlpb.Command_Publish{Publish: encoded}})
	if err != nil {
		return configuration.PublishResult{}, fmt.Errorf("encoding a publish: %w", err)
	}
	answer, err := c.store.Propose(ctx, command)
	if err != nil {
		return configuration.PublishResult{}, c.failure(ctx, err)
	}
	published, err := decodePublished(answer)
	if err != nil {
		return published, err
	}
	c.record("configuration", fmt.Sprintf("publish %s on revision %d: %s %d", publish.ID, publish.Base, published.Kind, published.Revision))
	return published, nil
}

func decodePublished(answer []byte) (configuration.PublishResult, error) {
	var published configuration.PublishResult
	result := &controlpb.Result{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return published, fmt.Errorf("decoding the answer to a publish: %w", err)
	}
	if err := json.Unmarshal(result.GetPublish(), &published); err != nil {
		return published, fmt.Errorf("decoding the answer to a publish: %w", err)
	}
	return published, nil
}
