package control

import (
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control/controlpb"
)

// Publish publishes a set through the log. It fails with NotLeader if this instance does not lead, and with Unavailable
// if the outcome of the publish is unknown.
func (c *Control) Publish(ctx context.Context, request configuration.PublishRequest) (configuration.PublishResult, error) {
	c.store.Read(func() { request = c.state.configuration.ReplaceSetByChanges(request) })
	encoded, err := request.MarshalBinary()
	if err != nil {
		return configuration.PublishResult{}, fmt.Errorf("encoding a publish: %w", err)
	}
	command, err := proto.Marshal(&controlpb.Command{Body: &controlpb.Command_Publish{Publish: encoded}})
	if err != nil {
		return configuration.PublishResult{}, fmt.Errorf("encoding a publish: %w", err)
	}
	encodedResult, err := c.store.Propose(ctx, command)
	if err != nil {
		return configuration.PublishResult{}, c.operatorFailure(ctx, err)
	}
	result, err := decodePublishResult(encodedResult)
	if err != nil {
		return result, err
	}
	c.record("configuration", fmt.Sprintf("publish %s on revision %d: %s %d", request.ID, request.Base, result.Kind, result.Revision))
	return result, nil
}

func decodePublishResult(encodedResult []byte) (configuration.PublishResult, error) {
	var publishResult configuration.PublishResult
	result := &controlpb.Result{}
	if err := proto.Unmarshal(encodedResult, result); err != nil {
		return publishResult, fmt.Errorf("decoding the answer to a publish: %w", err)
	}
	if err := json.Unmarshal(result.GetPublish(), &publishResult); err != nil {
		return publishResult, fmt.Errorf("decoding the answer to a publish: %w", err)
	}
	return publishResult, nil
}
