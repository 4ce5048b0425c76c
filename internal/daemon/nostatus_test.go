package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/refusal"
)

// TestAnswerWithoutAStatusReachesNoCaller guards against answers whose status is none, of a faulty backend server, that reach
// callers as answers.
func TestAnswerWithoutAStatusReachesNoCaller(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	served := f.rawBackend("courts-1", "courts", func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, 4<<10)
		if _, err := conn.Read(buffer); err == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 3\r\n\r\nodd", "600 Odd")
		}
	})
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		f.eventually(name+": the target is called", func() bool {
			return ask(d.daemon, http.MethodGet, "/courts/1", "club", "").refusal() != string(refusal.NoTarget)
		})
		if got := ask(d.daemon, http.MethodPost, "/courts/1", "club", "body"); got.refusal() != string(refusal.TargetFailed) || !isUnknownOutcome(got) {
			t.Errorf("%s: %d %q %v", name, got.status, got.refusal(), got.err)
		}
	}
}

// TestStatusOfAFaultyDaemonReachesNoCaller guards against answers with status 200 for a status between daemons that is none:
// the status was ignored, and the body began the answer.
func TestStatusOfAFaultyDaemonReachesNoCaller(t *testing.T) {
	for _, status := range []int32{0, -1, 99, 101, 199, 600, 1 << 30} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newFleet(t)
			f.publish(baseSet())
			listener := listen(t)
			faulty := peer.NewServer(peer.Identity{Cluster: "test", Process: "courts-1", Incarnation: 1})
			faulty.Handle("call", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
				frame := &peerpb.Frame{}
				for stream.Receive(frame) == nil {
					id := frame.GetCallId()
					if frame.GetCall() == nil {
						continue
					}
					header := &peerpb.AnswerHeader{Status: status, ContentLength: 3}
					_ = stream.Send(&peerpb.Frame{CallId: id, Body: &peerpb.Frame_Answer{Answer: header}})
					_ = stream.Send(&peerpb.Frame{CallId: id, Body: &peerpb.Frame_Data{Data: []byte("odd")}})
					_ = stream.Send(&peerpb.Frame{CallId: id, Body: &peerpb.Frame_End{End: &peerpb.End{Length: 3}}})
				}
			})
			go func() { _ = faulty.Serve(listener) }()
			t.Cleanup(func() { _ = faulty.Close() })
			f.advertised = addressOf(listener)
			f.backend("courts-1", "courts", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "never") })
			f.advertised = addressOf(listen(t))
			entry, _, _ := f.daemon("entry")
			f.eventually("the target is called", func() bool {
				return ask(entry, http.MethodGet, "/courts/1", "club", "").refusal() != string(refusal.NoTarget)
			})
			if got := ask(entry, http.MethodPost, "/courts/1", "club", "body"); got.refusal() != string(refusal.TargetFailed) || !isUnknownOutcome(got) {
				t.Errorf("%d %q %q %v", got.status, got.body, got.refusal(), got.err)
			}
		})
	}
}
