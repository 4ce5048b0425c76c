package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// heartbeatPeriod is the HeartbeatS of the settings.
const heartbeatPeriod = 1500 * time.Millisecond

// A Target is a stand-in for the application target of a sidecar machine.
type Target struct {
	rig      *Rig
	host     int
	id       string
	service  string
	slots    int
	born     int64
	sequence atomic.Int64
	server   *http.Server
	cancel   context.CancelFunc
	ended    chan struct{}
}

// StartTarget starts a target. The handler answers the requests that name this target.
func (r *Rig) StartTarget(host int, id, service string, slots int, handler http.HandlerFunc) (*Target, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.IP(host), appPort))
	if err != nil {
		return nil, err
	}
	t := &Target{rig: r, host: host, id: id, service: service, slots: slots, born: time.Now().UnixMilli(), ended: make(chan struct{})}
	t.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Sapphirespread-Request-Id", q.Header.Get("Sapphirespread-Request-Id"))
		if expected := q.Header.Get("Sapphirespread-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("Sapphirespread-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler(w, q)
	})}
	go func() { _ = t.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	go t.beat(ctx)
	r.OnClose(t.Crash)
	return t, nil
}

// Crash ends the target without a word.
func (t *Target) Crash() {
	t.cancel()
	<-t.ended
	_ = t.server.Close()
}

func (t *Target) beat(ctx context.Context) {
	defer close(t.ended)
	for {
		status, err := t.Heartbeat("ready", t.sequence.Add(1))
		delay := heartbeatPeriod
		if err != nil || status != http.StatusOK {
			delay = heartbeatPeriod / 5
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// Heartbeat sends one heartbeat.
func (t *Target) Heartbeat(state string, sequence int64) (int, error) {
	body := fmt.Sprintf(`{"Address":"%s:%d","born":%d,"Info":{"Service":%q,"Version":"v1","Zone":"east","Slots":%d},"Status":{"State":%q,"Sequence":%d,"ColdLeftS":0}}`,
		t.rig.IP(t.host), appPort, t.born, t.service, t.slots, state, sequence)
	return t.post("heartbeat", body)
}

func (t *Target) post(call, body string) (int, error) {
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Post(fmt.Sprintf("http://%s:%d/v1/instances/%s/%s", t.rig.IP(t.host), controlPort, t.id, call), "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// StopHeartbeats ends the target's regular heartbeats, as before its end. It keeps serving.
func (t *Target) StopHeartbeats() {
	t.cancel()
	<-t.ended
}

// NextSequence returns the sequence number of the next heartbeat.
func (t *Target) NextSequence() int64 { return t.sequence.Add(1) }

// Deregister tells the daemon that the target leaves.
func (t *Target) Deregister() (int, error) {
	return t.post("deregister", fmt.Sprintf(`{"born":%d}`, t.born))
}
