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

// clientHandshake sends the identity of this process on the first stream and returns the identity of the peer. It
// returns an error if the peer rejects the session.
func clientHandshake(stream *Stream, self Identity) (Identity, error) {
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

// serverHandshake receives the identity of the peer on the first stream and replies with the identity of this process.
// It returns an error if it rejects the session.
func serverHandshake(stream *Stream, self Identity) (Identity, error) {
	var hello peerpb.Hello
	if err := stream.Receive(&hello); err != nil {
		return Identity{}, fmt.Errorf("receiving hello: %w", err)
	}
	reply := &peerpb.Welcome{Version: protocolVersion, Process: self.Process, Incarnation: self.Incarnation}
	switch {
	case hello.GetVersion() != protocolVersion:
		reply.Error = fmt.Sprintf("protocol version %d is not %d", hello.GetVersion(), protocolVersion)
	case hello.GetCluster() != self.Cluster:
		reply.Error = fmt.Sprintf("cluster %q is not %q", hello.GetCluster(), self.Cluster)
	case hello.GetProcess() == "":
		reply.Error = "process has no name"
	}
	err := stream.Send(reply)
	if reply.GetError() != "" {
		return Identity{}, fmt.Errorf("refusing peer: %s", reply.GetError())
	}
	if err != nil {
		return Identity{}, fmt.Errorf("sending welcome: %w", err)
	}
	return Identity{Cluster: hello.GetCluster(), Process: hello.GetProcess(), Incarnation: hello.GetIncarnation()}, nil
}
