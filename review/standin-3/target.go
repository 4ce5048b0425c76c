package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Names of headers.
const (
	idHeader        = "Sapphirespread-Request-Id"
	deadlineHeader  = "Sapphirespread-Deadline-Ms"
	expectHeader    = "Sapphirespread-Expect-Instance"
	signatureHeader = "Sapphirespread-Response-Signature"
	notRunHeader    = "Sapphirespread-Not-Executed"
)

// States of a target.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// A target is the sound application target beside a daemon.
type target struct {
	world    *world
	host     int
	id       string
	service  string
	slots    int
	born     int64
	work     http.HandlerFunc
	server   *http.Server
	sequence atomic.Int64
	running  atomic.Int64
	mu       sync.Mutex
	state    string
	runs     []runRecord
}

// A runRecord is a request that a target has begun to work on.
type runRecord struct {
	id string
	at time.Time
}

// startTarget starts a target, which announces itself until it leaves.
func (w *world) startTarget(host int, service string, slots int, work http.HandlerFunc) *target {
	t := &target{
		world: w, host: host, id: fmt.Sprintf("i-%d", host), service: service, slots: slots,
		born: time.Now().UnixMilli(), work: work, state: stateReady,
	}
	listener, err := net.Listen("tcp", w.address(host, appPort))
	if err != nil {
		panic(err)
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	w.closers = append(w.closers, func() { _ = t.server.Close() })
	go t.announce()
	return t
}

// announce sends a heartbeat now and then until the target leaves.
func (t *target) announce() {
	for t.currentState() != stateGone {
		t.beat()
		select {
		case <-t.world.ctx.Done():
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (t *target) currentState() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (t *target) beat() bool {
	body := fmt.Sprintf(`{"Address":%q,"born":%d,"Info":{"Service":%q,"Version":"v1","Zone":"east","Slots":%d},"Status":{"State":%q,"Sequence":%d,"ColdLeftS":0}}`,
		t.world.address(t.host, appPort), t.born, t.service, t.slots, t.currentState(), t.sequence.Add(1))
	return t.tell("heartbeat", body) == http.StatusOK
}

// tell calls the daemon beside the target and returns the status of its answer.
func (t *target) tell(verb, body string) int {
	return call(http.MethodPost, "http://"+t.world.address(t.host, controlPort)+"/v1/instances/"+t.id+"/"+verb, body, time.Second).status
}

// drain says that the target is draining until that is acknowledged, and returns when it was.
func (t *target) drain() time.Time {
	t.setState(stateDraining)
	for !t.beat() {
		time.Sleep(50 * time.Millisecond)
	}
	t.world.note("%s: draining is acknowledged", t.id)
	return time.Now()
}

// leave deregisters the target and ends it.
func (t *target) leave() {
	t.setState(stateGone)
	status := t.tell("deregister", fmt.Sprintf(`{"born":%d}`, t.born))
	t.world.note("%s: the deregistration is answered %d; the target exits", t.id, status)
	_ = t.server.Close()
}

// serve serves a request as a sound target does.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(idHeader)
	w.Header().Set(idHeader, id)
	if r.URL.Path == "/health" {
		w.Header().Set("Sapphirespread-Instance-Id", t.id)
		return
	}
	if expected := r.Header.Get(expectHeader); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer t.running.Add(-1)
	if t.running.Add(1) > int64(t.slots) {
		w.Header().Set(notRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	t.runs = append(t.runs, runRecord{id: id, at: time.Now()})
	t.mu.Unlock()
	t.work(w, r)
}

// allRuns returns the runs so far.
func (t *target) allRuns() []runRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]runRecord(nil), t.runs...)
}

// answerWith writes a whole signed answer.
func answerWith(w http.ResponseWriter, body []byte) {
	sum := sha256.Sum256(body)
	w.Header().Set(signatureHeader, hex.EncodeToString(sum[:]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
