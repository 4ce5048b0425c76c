package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatPeriod is HeartbeatS.
const heartbeatPeriod = 1500 * time.Millisecond

// A target stands in for a target of the users: it speaks what their pages say, and works as work tells.
type target struct {
	system  *system
	id      string
	service string
	host    int
	slots   int
	born    int64
	// work answers a request that runs, and writes its status and its body.
	work     func(t *target, w http.ResponseWriter, r *http.Request)
	server   *http.Server
	stop     context.CancelFunc
	slot     chan struct{}
	sequence atomic.Int64
	draining atomic.Bool
	mu       sync.Mutex
	runs     []*run
}

// A run is a request that the target has begun to work on.
type run struct {
	id       string
	path     string
	target   string
	arrived  time.Time
	ended    time.Time
	finished bool
}

// startTarget starts the target beside a daemon.
func (s *system) startTarget(number int, service string, slots int, work func(*target, http.ResponseWriter, *http.Request)) (*target, error) {
	host := daemonHost(number)
	t := &target{system: s, id: fmt.Sprintf("i-%d-%d", number, time.Now().UnixMilli()%100000), service: service, host: host, slots: slots, born: time.Now().UnixMilli(), work: work, slot: make(chan struct{}, slots)}
	listener, err := net.Listen("tcp", s.address(host, appPort))
	if err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: 30 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	go t.sendHeartbeats(ctx)
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	return t, nil
}

func (t *target) close() {
	t.stop()
	_ = t.server.Close()
}

// sendHeartbeats tells the daemon every heartbeatPeriod that the target is there.
func (t *target) sendHeartbeats(ctx context.Context) {
	for {
		t.beat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (t *target) beat() bool {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	body := fmt.Sprintf(`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":"z","Slots":%d},"Status":{"State":%q,"Sequence":%d,"ColdLeftS":0}}`,
		t.system.address(t.host, appPort), t.born, t.service, t.slots, state, t.sequence.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a := send(ctx, http.MethodPost, "http://"+t.system.address(t.host, controlPort)+"/v1/instances/"+t.id+"/heartbeat", body, map[string]string{"Content-Type": "application/json"})
	return a.err == nil && a.status == http.StatusOK
}

// drain reports that the target drains, until that is acknowledged.
func (t *target) drain() error {
	t.draining.Store(true)
	return t.system.eventually("the draining to be acknowledged", t.beat)
}

// leave deregisters the target, as it does some seconds after its draining was acknowledged, and ends it.
func (t *target) leave() {
	t.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = send(ctx, http.MethodPost, "http://"+t.system.address(t.host, controlPort)+"/v1/instances/"+t.id+"/deregister", fmt.Sprintf(`{"born":%d}`, t.born), map[string]string{"Content-Type": "application/json"})
	_ = t.server.Close()
}

// serve handles a request as the users' pages say of a target.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Sapphirespread-Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Sapphirespread-Request-Id")
	w.Header().Set("Sapphirespread-Request-Id", id)
	if expected := r.Header.Get("Sapphirespread-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("Sapphirespread-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	select {
	case t.slot <- struct{}{}:
		defer func() { <-t.slot }()
	default:
		w.Header().Set("Sapphirespread-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	one := &run{id: id, path: r.URL.Path, target: t.id, arrived: arrived}
	t.mu.Lock()
	t.runs = append(t.runs, one)
	t.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Sapphirespread-Response-Signature", "signed-"+id)
	t.work(t, w, r)
	t.mu.Lock()
	one.ended, one.finished = time.Now(), r.Context().Err() == nil
	t.mu.Unlock()
}

// allRuns returns copies of the runs so far.
func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]run, 0, len(t.runs))
	for _, one := range t.runs {
		runs = append(runs, *one)
	}
	return runs
}

// pause works for d, or until the request is cancelled, and reports whether it worked to the end.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
