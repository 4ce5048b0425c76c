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

// byteStrings generates header values of arbitrary bytes, because callers may send values in any encoding.
func byteStrings() *rapid.Generator[string] {
	return rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 20), func(content []byte) string { return string(content) })
}

func TestHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := http.Header{}
		for range rapid.IntRange(0, 4).Draw(t, "lines") {
			header.Add(rapid.SampledFrom([]string{"A", "Content-Type", "X-B"}).Draw(t, "name"), byteStrings().Draw(t, "value"))
		}
		encoded, err := proto.Marshal(&peerpb.AnswerHeader{Headers: message.EncodeHeader(header)})
		if err != nil {
			t.Fatal(err)
		}
		var decoded peerpb.AnswerHeader
		if err := proto.Unmarshal(encoded, &decoded); err != nil {
			t.Fatal(err)
		}
		if got := message.DecodeHeader(decoded.GetHeaders()); !reflect.DeepEqual(got, header) {
			t.Fatalf("got %v, want %v", got, header)
		}
	})
}

func TestTargetAndClaimRoundTrips(t *testing.T) {
	original := target.Target{
		Name: "a-1", Service: "a", FailureDomain: "d", Daemon: "a-1", Peer: netip.MustParseAddrPort("127.0.0.1:9"),
		Incarnation: 7, Slots: 8, InFlight: 3, Connections: 2, State: target.Ready,
	}
	if got, err := message.DecodeTarget(message.EncodeTarget(original)); err != nil || got != original {
		t.Errorf("target: %+v, %v", got, err)
	}
	if _, err := message.DecodeTarget(&peerpb.Announce{PeerAddress: "nowhere"}); err == nil {
		t.Error("a target with an invalid address was accepted")
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
