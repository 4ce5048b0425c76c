package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// fuzzedDaemon starts a daemon with an empty configuration and returns it with the address that serves other daemons.
func fuzzedDaemon(f *testing.F) (*daemon.Daemon, netip.AddrPort) {
	fleet := newFleet(f)
	fleet.publish(configuration.Set{})
	fleet.relayed = true
	d, _, _ := fleet.daemon("fuzzed")
	return d, fleet.relay.target
}

func checkServes(t *testing.T, d *daemon.Daemon) {
	t.Helper()
	if got := status("http://" + d.OperatorsAddress().String() + "/operator/v1/health/live"); got/100 != 2 {
		t.Errorf("the daemon stopped serving: status %d", got)
	}
}

// FuzzAnnouncement sends arbitrary bytes as an announcement. An accepted announcement must have all required fields,
// and any other is refused as malformed and not run.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"name":"a","service":"courts","address":"127.0.0.1:1","slots":1,"state":"ready"}`))
	f.Add([]byte(`{"name":"a","service":"courts","address":"127.0.0.1:1","slots":-1,"state":"ready"}`))
	f.Add([]byte(`{"name":"","service":"courts","address":"[::1]:1","slots":1e3,"state":"left","more":{}}`))
	f.Add([]byte(`[{}]`))
	f.Add([]byte("\x00\xff"))
	d, _ := fuzzedDaemon(f)
	f.Fuzz(func(t *testing.T, content []byte) {
		request, _ := http.NewRequest(http.MethodPut, "http://"+d.SubcallsAddress().String()+"/announce/v1/target", bytes.NewReader(content))
		got := send(request)
		var announcement struct {
			Name, Service, Address, State string
			Slots                         int
		}
		err := json.NewDecoder(bytes.NewReader(content)).Decode(&announcement)
		complete := err == nil && announcement.Name != "" && announcement.Service != "" && announcement.Address != "" && announcement.State != "" && announcement.Slots > 0
		switch {
		case got.status == http.StatusOK && !complete:
			t.Errorf("accepted an incomplete announcement: %q", content)
		case got.status != http.StatusOK && (got.refusal() != "malformed-request" || got.header.Get(headerRunState) != "not-run"):
			t.Errorf("got %d %s for %q", got.status, got.refusal(), content)
		}
		checkServes(t, d)
	})
}

// FuzzCallFrames sends arbitrary frames on a call stream to a daemon without a backend server. The daemon must refuse
// every call and keep serving.
func FuzzCallFrames(f *testing.F) {
	call := &peerpb.CallHeader{CallId: 1, Target: "courts-1", Service: "courts", Method: "GET", Path: "/", RemainingUs: 1000, Repeatable: true}
	short := proto.Clone(call).(*peerpb.CallHeader)
	short.RequestHash, short.Fingerprint, short.RemainingUs, short.Depth, short.Allowance = []byte{1}, []byte{2}, -1, -1, -1
	short.ContentLength = -1
	frames := []*peerpb.Frame{
		{CallId: 1, Body: &peerpb.Frame_Call{Call: call}},
		{CallId: 1, Body: &peerpb.Frame_Call{Call: short}},
		{CallId: 1, Body: &peerpb.Frame_Data{Data: []byte("body")}},
		{CallId: 1, Body: &peerpb.Frame_End{End: &peerpb.End{Length: 9}}},
		{CallId: 2, Body: &peerpb.Frame_Abort{Abort: &peerpb.Abort{}}},
	}
	var all bytes.Buffer
	for _, frame := range frames {
		var one bytes.Buffer
		_, _ = protodelim.MarshalTo(&one, frame)
		_, _ = protodelim.MarshalTo(&all, frame)
		f.Add(one.Bytes())
	}
	f.Add(all.Bytes())
	d, peers := fuzzedDaemon(f)
	pool := peer.NewPool(peer.Identity{Cluster: "test", Process: "fuzzer", Incarnation: 1})
	f.Cleanup(func() { _ = pool.Close() })
	f.Fuzz(func(t *testing.T, content []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), testBound)
		defer cancel()
		stream, err := pool.Open(ctx, peers, "call")
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Abort()
		reader := bytes.NewReader(content)
		for {
			frame := &peerpb.Frame{}
			if protodelim.UnmarshalFrom(reader, frame) != nil || stream.Send(frame) != nil {
				break
			}
		}
		_ = stream.SetReadDeadline(time.Now().Add(time.Millisecond))
		answer := &peerpb.Frame{}
		if stream.Receive(answer) == nil && answer.GetRefusal() == nil {
			t.Errorf("%q was answered with %v", content, answer)
		}
		checkServes(t, d)
	})
}
