// Command 4 restarts the daemon of a target that has deregistered, while a heartbeat that the target sent before arrives
// late.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"sapphirespread.example/review/rig"
)

const (
	key         = "6wsjnbanfqasnmgkcuyj"
	clients     = 10
	pause       = 20 * time.Millisecond
	length      = 16 * time.Second
	leaveAt     = 4 * time.Second
	killAfter   = 300 * time.Millisecond // after the acknowledgement
	restartIn   = 500 * time.Millisecond
	late        = 3 * time.Second // how late the heartbeat arrives
	serveFor    = 10 * time.Second
	drain       = 2 * time.Second // DrainS
	contact     = 3 * time.Second // ContactS
	entry       = 11
	leaving     = 12
	sibling     = 13
	settleTime  = 4 * time.Second
	workPerCall = 10 * time.Millisecond
)

const document = `{"Version":5,"Routes":{
"r-read":{"Host":"a.example","PathPrefix":"/read/","RouteType":"safe","TimeoutS":6,"AimS":1.5,"Priority":2,"Service":"courts","MaxAttempts":2,"AllowAnonymous":false}},
"Services":{"courts":{"HealthPath":"/health","MaxConnections":1138,"Protocol":"h1","Tls":false},"shop":{"HealthPath":"/health","MaxConnections":1138,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
"Tenants":{"club":{"ApiKeys":["6wsjnbanfqasnmgkcuyj"],"Priority":1,"RatePerS":1000,"Burst":1000}}}`

// A judge knows when the leaving target was acknowledged and what has reached it since.
type judge struct {
	rig       *rig.Rig
	mu        sync.Mutex
	total     int
	whole     int
	ackedAt   time.Time
	startedAt time.Time // last start of the daemon of the leaving target
	reached   int
	arrivals  int
}

func main() {
	os.Exit(run())
}

func run() int {
	r, err := rig.New("review/4/record.txt")
	if err != nil {
		fmt.Println(err)
		return rig.Invalid
	}
	defer r.Close()
	j := &judge{rig: r}
	daemon, target, err := j.start()
	if err != nil {
		r.Logf("the case could not run: %v", err)
		return rig.Invalid
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(leaveAt)
		j.leave(daemon, target)
	})
	for client := range clients {
		group.Go(func() { j.serveClient(client, end) })
	}
	group.Wait()
	return j.verdict()
}

// leave makes the target leave without a draining heartbeat. With trouble, its last heartbeat is on its way meanwhile,
// and its daemon is killed and starts again.
func (j *judge) leave(daemon *rig.Process, target *rig.Target) {
	trouble := os.Getenv("TROUBLE")
	target.StopHeartbeats()
	sequence := target.NextSequence()
	if rig.Trouble() && !strings.Contains(trouble, "kill") {
		j.rig.Logf("target i-%d: heartbeat %d (ready) sent, on its way for %s", leaving, sequence, late)
		time.AfterFunc(late, func() {
			status, err := target.Heartbeat("ready", sequence)
			j.rig.Logf("target i-%d: heartbeat %d arrived and is answered: %d %v", leaving, sequence, status, err)
		})
	}
	status, err := target.Deregister()
	j.rig.Logf("target i-%d: deregistration answered: %d %v", leaving, status, err)
	if status != http.StatusOK {
		return
	}
	j.mu.Lock()
	j.ackedAt = time.Now()
	j.mu.Unlock()
	time.AfterFunc(serveFor, target.Crash)
	if !rig.Trouble() || strings.Contains(trouble, "late") {
		return
	}
	time.Sleep(killAfter)
	daemon.Kill()
	time.Sleep(restartIn)
	_ = daemon.Start()
	j.mu.Lock()
	j.startedAt = time.Now()
	j.mu.Unlock()
}

func (j *judge) serveClient(client int, end time.Time) {
	conn := j.rig.NewKeptConn(entry)
	defer conn.Close()
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%04x%08x", client, i)
		answer, _ := conn.Send(rig.Request{Method: http.MethodGet, Host: "a.example", Path: "/read/" + id, ID: id, Key: key, DeadlineMs: 6000})
		j.mu.Lock()
		j.total++
		if answer.Err == nil && answer.Status == http.StatusOK {
			j.whole++
		} else {
			j.rig.Logf("client: request %s: %d %v", id, answer.Status, answer.Err)
		}
		j.mu.Unlock()
		time.Sleep(pause)
	}
}

// serveTarget answers, and counts what reaches the leaving target too late while its machine is in touch.
func (j *judge) serveTarget(host int, w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Sapphirespread-Request-Id")
	now := time.Now()
	j.mu.Lock()
	if host == leaving {
		j.arrivals++
		since := now.Sub(j.ackedAt)
		inTouch := now.Sub(j.startedAt) > contact
		if !j.ackedAt.IsZero() && since > drain && inTouch {
			j.reached++
			j.rig.Logf("target i-%d: request %s reached it %.3f s after the acknowledgement", host, id, since.Seconds())
		}
	}
	j.mu.Unlock()
	time.Sleep(workPerCall)
	w.Header().Set("Sapphirespread-Response-Signature", "s-"+id)
	_, _ = w.Write(make([]byte, 600))
}

func (j *judge) verdict() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf("%d requests, %d whole answers, %d arrivals at the leaving target, %d of them later than DrainS after the acknowledgement with all machines in touch (allowed: 0)",
		j.total, j.whole, j.arrivals, j.reached)
	j.rig.Logf("%s", text)
	fmt.Println(text)
	if j.ackedAt.IsZero() || j.arrivals == 0 || j.whole < j.total/2 {
		return rig.Invalid
	}
	if j.reached > 0 {
		return rig.Broken
	}
	return rig.Held
}

func (j *judge) start() (*rig.Process, *rig.Target, error) {
	for host := 1; host <= rig.Seeds; host++ {
		if _, err := j.rig.StartControl(host); err != nil {
			return nil, nil, err
		}
	}
	var daemon *rig.Process
	var target *rig.Target
	for host, service := range map[int]string{entry: "shop", leaving: "courts", sibling: "courts"} {
		p, err := j.rig.StartDaemon(host, service)
		if err != nil {
			return nil, nil, err
		}
		t, err := j.rig.StartTarget(host, fmt.Sprintf("i-%d", host), service, 173, func(w http.ResponseWriter, q *http.Request) { j.serveTarget(host, w, q) })
		if err != nil {
			return nil, nil, err
		}
		if host == leaving {
			daemon, target = p, t
		}
	}
	if status, err := j.rig.Put(0, document); err != nil || status != http.StatusOK {
		return nil, nil, fmt.Errorf("first configuration: %d %v", status, err)
	}
	if err := j.rig.AwaitReady(entry, leaving, sibling); err != nil {
		return nil, nil, err
	}
	time.Sleep(settleTime)
	return daemon, target, nil
}
