package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pageTargets = 6
	// garbledTargets is how many targets break off answers: a share of 0.33.
	garbledTargets = 2
	garbledShare   = 0.02
	garbledTime    = 5500 * time.Millisecond
	pageFronts     = 2
	pageClients    = 40
	pipelineDepth  = 6
	pageTime       = 12 * time.Second
	pageWork       = 190 * time.Millisecond
	pageBytes      = 1500
	// lostAllowed is how many requests may be lost on kept connections.
	lostAllowed = 3
)

func init() { plays["pipelined"] = playPipelined }

// A pageRun is how a request ended at a target.
type pageRun struct {
	runs    int
	garbled bool // at a target that breaks off answers
	whole   bool // the target has given its whole answer
}

// pages are the servers of the case.
type pages struct {
	world    *world
	garbling atomic.Bool
	mu       sync.Mutex
	runs     map[string]*pageRun
	broken   int
}

// serve answers as a sound server, or breaks off if the target at host is one that does and it's so drawn.
func (p *pages) serve(host int) http.HandlerFunc {
	mayBreak := host < firstPageHost+garbledTargets
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(idHeader)
		p.mu.Lock()
		run := p.runs[id]
		if run == nil {
			run = &pageRun{}
			p.runs[id] = run
		}
		run.runs++
		run.garbled = run.garbled || mayBreak
		p.mu.Unlock()
		time.Sleep(pageWork)
		body := pageOf(id)
		sum := sha256.Sum256(body)
		w.Header().Set(signatureHeader, hex.EncodeToString(sum[:]))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		if mayBreak && p.garbling.Load() && rand.Float64() < garbledShare {
			p.mu.Lock()
			p.broken++
			p.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body[len(body)/2:])
		p.mu.Lock()
		run.whole = true
		p.mu.Unlock()
	}
}

// pageOf returns the whole answer to a request.
func pageOf(id string) []byte {
	return bytes.Repeat([]byte(id), pageBytes/len(id))
}

const firstPageHost = 4

// playPipelined lets clients send safe requests one behind the other on kept connections, and two of six targets break off
// 2 in 100 of their answers. The rule is broken if more than three requests that only sound targets ran are lost with their
// connection.
func playPipelined(w *world) (broken bool) {
	for _, host := range w.seeds {
		w.startControl(host)
	}
	servers := &pages{world: w, runs: map[string]*pageRun{}}
	var all, fronts []int
	for host := firstPageHost; host < firstPageHost+pageTargets; host++ {
		w.startDaemon(host, "catalogue")
		all = append(all, host)
	}
	for host := firstPageHost + pageTargets; host < firstPageHost+pageTargets+pageFronts; host++ {
		w.startDaemon(host, "front")
		all, fronts = append(all, host), append(fronts, host)
	}
	w.put(`{"Version":5,"Routes":{"r-page":{"Host":"a.example","PathPrefix":"/page/","RouteType":"safe","TimeoutS":5,"AimS":1.5,` +
		`"Priority":2,"Service":"catalogue","MaxAttempts":2,"AllowAnonymous":false}},"Services":{` + serviceText("catalogue") + `,` + serviceText("front") + `},` +
		`"Limits":` + limitsText + `,"Tenants":{"t0":{"ApiKeys":["key-0"],"Priority":1,"RatePerS":5000,"Burst":5000}}}`)
	for _, host := range all {
		service := "catalogue"
		if host >= firstPageHost+pageTargets {
			service = "front"
		}
		w.startTarget(host, service, 84, servers.serve(host))
	}
	w.awaitReady(all...)
	time.Sleep(4 * time.Second)
	lost := &lostPages{servers: servers}
	end := time.Now().Add(pageTime)
	var wait sync.WaitGroup
	for i := range pageClients {
		wait.Go(func() {
			for time.Now().Before(end) {
				lost.client(fronts[i%len(fronts)], end)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.note("garble: targets i-%d and i-%d break off %v of their answers for %s", firstPageHost, firstPageHost+1, garbledShare, garbledTime)
		servers.garbling.Store(true)
		time.Sleep(garbledTime)
		servers.garbling.Store(false)
		w.note("garble: ends")
	}
	wait.Wait()
	w.note("%d requests, %d answered whole; the targets broke off %d answers", lost.sent, lost.answered, servers.broken)
	w.note("LOST: %d requests that only sound targets ran got no answer on their kept connection; to %d of them the target had given its whole answer, and %d stood before the answer that broke off",
		lost.count, lost.whole, lost.before)
	return lost.count > lostAllowed
}

// lostPages counts what the clients of the case got.
type lostPages struct {
	servers  *pages
	mu       sync.Mutex
	sent     int
	answered int
	count    int // lost
	whole    int // lost although the target had given its whole answer
	before   int // lost although they stand before the first answer that broke off
}

// client sends requests one behind the other on one connection until it breaks.
func (l *lostPages) client(host int, end time.Time) {
	w := l.servers.world
	conn, err := net.Dial("tcp", w.address(host, outboundPort))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for kept := false; time.Now().Before(end); kept = true {
		ids := make([]string, pipelineDepth)
		var out bytes.Buffer
		for i := range ids {
			ids[i] = newID()
			_, _ = fmt.Fprintf(&out, "GET /page/%d HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-0\r\n%s: %s\r\n%s: 5000\r\n\r\n", i, idHeader, ids[i], deadlineHeader)
		}
		_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
		if _, err := conn.Write(out.Bytes()); err != nil {
			return
		}
		if !l.read(reader, ids, kept) {
			return
		}
	}
}

// read reads the answers to a batch and reports whether the connection holds. Only what is lost on a kept connection, one that
// has carried a batch before, counts.
func (l *lostPages) read(reader *bufio.Reader, ids []string, kept bool) bool {
	got := 0
	partial := false
	var failure error
	for ; got < len(ids); got++ {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			failure = err
			break
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			failure, partial = err, true
			break
		}
		if response.StatusCode == http.StatusOK && !bytes.Equal(body, pageOf(ids[got])) {
			l.servers.world.note("the answer to %s isn't whole", ids[got])
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent += len(ids)
	l.answered += got
	if failure == nil {
		return true
	}
	if !kept {
		return false
	}
	l.servers.mu.Lock()
	defer l.servers.mu.Unlock()
	if partial {
		got++ // the answer that broke off
	}
	for _, id := range ids[got:] {
		run := l.servers.runs[id]
		if run == nil || run.garbled {
			continue
		}
		l.count++
		if run.whole {
			l.whole++
		}
		if !partial {
			l.before++
		}
		l.servers.world.note("request %s: ran %d times at sound targets, whole answer given: %v, the client's connection ended: %v", id, run.runs, run.whole, failure)
	}
	return false
}
