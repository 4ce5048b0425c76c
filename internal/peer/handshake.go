package peer

import (
	"fmt"
	"time"

	"sapphirespread.example/internal/peer/peerpb"
)

const (
	protocolVersion  = 1
	handshakeTimeout = 5 * time.Second
)

// introduce sends this process's identity on the first stream and returns the peer's.
func introduce(stream *Stream, self Identity) (Identity, error) {
	hello := &peerpb.Hello{
		Version:     protocolVersion,
		Cluster:     self.Cluster,
		Process:     self.Process,
		Incarnation: self.Incarnation,
	}
	if err := stream.Send(hello); err != nil {
		return Identity{}, fmt.Errorf("sending hello: %w", err)
	}
	var welcome peerpb.Welcome
	if err := stream.Receive(&welcome); err != nil {
		return Identity{}, fmt.Errorf("receiving welcome: %w", err)
	}
	if welcome.GetError() != "" {
		return Identity{}, fmt.Errorf("refused by peer: %s", welcome.GetError())
	}
	return Identity{Cluster: self.Cluster, Process: welcome.GetProcess(), Incarnation: welcome.GetIncarnation()}, nil
}

// welcome reads the peer's identity from the first stream and answers with this process's.
func welcome(stream *Stream, self Identity) (Identity, error) {
	var hello peerpb.Hello
	if err := stream.Receive(&hello); err != nil {
		return Identity{}, fmt.Errorf("receiving hello: %w", err)
	}
	answer := &peerpb.Welcome{Version: protocolVersion, Process: self.Process, Incarnation: self.Incarnation}
	switch {
	case hello.GetVersion() != protocolVersion:
		answer.Error = fmt.Sprintf("protocol version %d is not %d", hello.GetVersion(), protocolVersion)
	case hello.GetCluster() != self.Cluster:
		answer.Error = fmt.Sprintf("cluster %q is not %q", hello.GetCluster(), self.Cluster)
	case hello.GetProcess() == "":
		answer.Error = "process has no name"
	}
	err := stream.Send(answer)
	if answer.GetError() != "" {
		return Identity{}, fmt.Errorf("refusing peer: %s", answer.GetError())
	}
	if err != nil {
		return Identity{}, fmt.Errorf("sending welcome: %w", err)
	}
	return Identity{Cluster: hello.GetCluster(), Process: hello.GetProcess(), Incarnation: hello.GetIncarnation()}, nil
}
