package message_test

import (
	"net/http"
	"net/netip"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sapphirespread.example/claim"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
)

// anyBytes draws header values as callers may send them, in any encoding.
func anyBytes() *rapid.Generator[string] {
	return rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 20), func(content []byte) string { return string(content) })
}

func TestAnyHeaderGoesThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := http.Header{}
		for range rapid.IntRange(0, 4).Draw(t, "lines") {
			header.Add(rapid.SampledFrom([]string{"A", "Content-Type", "X-B"}).Draw(t, "name"), anyBytes().Draw(t, "value"))
		}
		raw, err := proto.Marshal(&peerpb.AnswerHeader{Headers: message.EncodeHeader(header)})
		if err != nil {
			t.Fatal(err)
		}
		var read peerpb.AnswerHeader
		if err := proto.Unmarshal(raw, &read); err != nil {
			t.Fatal(err)
		}
		if got := message.DecodeHeader(read.GetHeaders()); !reflect.DeepEqual(got, header) {
			t.Fatalf("got %v, want %v", got, header)
		}
	})
}

func TestDecisionsGoThrough(t *testing.T) {
	sent := target.Target{
		Name: "a-1", Service: "a", FailureDomain: "d", Daemon: "a-1", Peer: netip.MustParseAddrPort("127.0.0.1:9"),
		Incarnation: 7, Slots: 8, InFlight: 3, Connections: 2, State: target.Ready,
	}
	if got, err := message.DecodeTarget(message.EncodeTarget(sent)); err != nil || got != sent {
		t.Errorf("target: %+v, %v", got, err)
	}
	if _, err := message.DecodeTarget(&peerpb.Announce{PeerAddress: "nowhere"}); err == nil {
		t.Error("a target without an address was taken")
	}
	outcome := claim.Outcome{Status: 201, Headers: []claim.Header{{Name: "A", Values: []string{"\xf8"}}}, Body: []byte("b"), BodyKept: true}
	if got := message.DecodeOutcome(message.EncodeOutcome(outcome)); !reflect.DeepEqual(got, outcome) {
		t.Errorf("outcome: %+v", got)
	}
	key := claim.Key{Workspace: "w", Route: "r", IdempotencyKey: "k"}
	if got := message.DecodeClaimKey(message.EncodeClaimKey(key)); got != key {
		t.Errorf("key: %+v", got)
	}
}
