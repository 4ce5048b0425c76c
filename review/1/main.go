// Command 1 kills a daemon while clients of another machine await answers without a length from the target beside it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"sapphirespread.example/review/rig"
)

const (
	key        = "6wsjnbanfqasnmgkcuyj"
	clients    = 40
	length     = 12 * time.Second
	killAt     = 5 * time.Second
	restartIn  = 500 * time.Millisecond
	work       = 120 * time.Millisecond
	allowed    = 3
	entry      = 11
	killed     = 12
	sibling    = 13
	settleTime = 4 * time.Second
)

const document = `{"Version":5,"Routes":{
"r-read":{"Host":"a.example","PathPrefix":"/read/","RouteType":"safe","TimeoutS":6,"AimS":1.5,"Priority":2,"Service":"courts","MaxAttempts":2,"AllowAnonymous":false}},
"Services":{"courts":{"HealthPath":"/health","MaxConnections":1138,"Protocol":"h1","Tls":false},"shop":{"HealthPath":"/health","MaxConnections":1138,"Protocol":"h1","Tls":false}},
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15},
"Tenants":{"club":{"ApiKeys":["6wsjnbanfqasnmgkcuyj"],"Priority":1,"RatePerS":1000,"Burst":1000}}}`

// A judge counts what clients and targets see.
type judge struct {
	rig    *rig.Rig
	mu     sync.Mutex
	ran    map[string]int
	total  int
	whole  int
	lost   int
	others map[string]int
}

func main() {
	os.Exit(run())
}

func run() int {
	r, err := rig.New("review/1/record.txt")
	if err != nil {
		fmt.Println(err)
		return rig.Invalid
	}
	defer r.Close()
	j := &judge{rig: r, ran: map[string]int{}, others: map[string]int{}}
	daemon, err := start(r, j)
	if err != nil {
		r.Logf("the case could not run: %v", err)
		return rig.Invalid
	}
	if rig.Trouble() {
		time.AfterFunc(killAt, func() {
			daemon.Kill()
			time.Sleep(restartIn)
			_ = daemon.Start()
		})
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { j.serveClient(client, end) })
	}
	group.Wait()
	return j.verdict()
}

// serveClient sends one request after another on a kept connection.
func (j *judge) serveClient(client int, end time.Time) {
	conn := j.rig.NewKeptConn(entry)
	defer conn.Close()
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%04x%08x", client, i)
		carried := conn.Carried
		answer, received := conn.Send(rig.Request{Method: http.MethodGet, Host: "a.example", Path: "/read/" + id, ID: id, Key: key, DeadlineMs: 6000})
		j.record(id, carried, answer, received)
		if answer.Err != nil || answer.Status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (j *judge) record(id string, carried int, answer rig.Answer, received int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	if answer.Err == nil && answer.Status == http.StatusOK {
		j.whole++
		return
	}
	ran := j.ran[id]
	j.rig.Logf("client: request %s on a connection that carried %d before: status %d, %d bytes, %v; runs begun at sound targets: %d",
		id, carried, answer.Status, received, answer.Err, ran)
	switch {
	case answer.Err != nil && rig.Closed(answer.Err) && received == 0 && carried > 0 && ran > 0:
		j.lost++
	case answer.Err != nil:
		j.others[fmt.Sprintf("broken off after %d bytes", min(received, 1))]++
	default:
		j.others[fmt.Sprint(answer.Status)]++
	}
}

func (j *judge) verdict() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf("%d requests, %d whole answers, %d passed on to a sound target and closed without an answer (allowed: %d), others: %v",
		j.total, j.whole, j.lost, allowed, j.others)
	j.rig.Logf("%s", text)
	fmt.Println(text)
	if j.whole < j.total/2 {
		return rig.Invalid
	}
	if j.lost > allowed {
		return rig.Broken
	}
	return rig.Held
}

// start starts the deployment and returns the daemon that will be killed.
func start(r *rig.Rig, j *judge) (*rig.Process, error) {
	for host := 1; host <= rig.Seeds; host++ {
		if _, err := r.StartControl(host); err != nil {
			return nil, err
		}
	}
	services := map[int]string{entry: "shop", killed: "courts", sibling: "courts"}
	daemons := map[int]*rig.Process{}
	for host, service := range services {
		daemon, err := r.StartDaemon(host, service)
		if err != nil {
			return nil, err
		}
		daemons[host] = daemon
		if _, err := r.StartTarget(host, fmt.Sprintf("i-%d", host), service, 173, j.serveTarget); err != nil {
			return nil, err
		}
	}
	if status, err := r.Put(0, document); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("first configuration: %d %v", status, err)
	}
	if err := r.AwaitReady(entry, killed, sibling); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return daemons[killed], nil
}

// serveTarget sends the head of its answer first, then works, and then sends a body without a length that ends with its
// connection.
func (j *judge) serveTarget(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Sapphirespread-Request-Id")
	j.mu.Lock()
	j.ran[id]++
	j.mu.Unlock()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nSapphirespread-Request-Id: %s\r\nSapphirespread-Response-Signature: s-%s\r\n\r\n", id, id)
	time.Sleep(work)
	_, _ = conn.Write(make([]byte, 600))
}
