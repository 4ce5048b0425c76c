package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	jobTargets = 8
	jobFronts  = 8
	jobSlots   = 4
	jobWork    = 3 * time.Second
	// jobsAhead is how many requests of a wave find all slots taken.
	jobsAhead = 64
	drainTime = 2 * time.Second // DrainS
	// stayTime is how long the leaving target serves after the acknowledgement: DrainS and a little longer.
	stayTime = 3500 * time.Millisecond
)

func init() { plays["drain-queue"] = playDrainQueue }

// playDrainQueue empties one of eight targets and takes it away while all are busy and requests wait for a slot. The rule is
// broken if a request reaches that target later than DrainS after it was told that its draining is acknowledged.
func playDrainQueue(w *world) (broken bool) {
	for _, host := range w.seeds {
		w.startControl(host)
	}
	var jobs, fronts, all []int
	for host := 4; host < 4+jobTargets; host++ {
		jobs = append(jobs, host)
		w.startDaemon(host, "jobs")
	}
	for host := 4 + jobTargets; host < 4+jobTargets+jobFronts; host++ {
		fronts = append(fronts, host)
		w.startDaemon(host, "front")
	}
	all = append(append(all, jobs...), fronts...)
	w.put(`{"Version":5,"Routes":{"r-job":{"Host":"a.example","PathPrefix":"/job/","RouteType":"unsafe","TimeoutS":30,"AimS":3,` +
		`"Priority":0,"Service":"jobs","MaxAttempts":2,"AllowAnonymous":true}},"Services":{` + serviceText("jobs") + `,` + serviceText("front") + `},` +
		`"Limits":` + limitsText + `,"Tenants":{}}`)
	work := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(jobWork):
			answerWith(w, []byte("done"))
		case <-r.Context().Done():
		}
	}
	targets := make([]*target, len(jobs))
	for i, host := range jobs {
		targets[i] = w.startTarget(host, "jobs", jobSlots, work)
	}
	for _, host := range fronts {
		w.startTarget(host, "front", jobSlots, work)
	}
	w.awaitReady(all...)
	time.Sleep(4 * time.Second) // all machines are in touch then
	var wait sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]reply{}
	wave := func(name string, count int) {
		w.note("%s: %d requests", name, count)
		for i := range count {
			wait.Go(func() {
				got := w.send(newTransport(), fronts[i%len(fronts)], http.MethodPost, fmt.Sprintf("/job/%d", i), bytes.NewReader([]byte("work")), 30*time.Second)
				w.note("request %s sent at %.3f: answered %d after %.3f s %s", got.id, w.since(got.sentAt), got.status, got.at.Sub(got.sentAt).Seconds(), got.failure())
				mu.Lock()
				defer mu.Unlock()
				replies[got.id] = got
			})
		}
	}
	wave("calm", jobTargets*jobSlots)
	wait.Wait()
	wave("busy", jobTargets*jobSlots+jobsAhead)
	time.Sleep(200 * time.Millisecond)
	leaving := targets[0]
	if w.trouble {
		at := leaving.drain()
		time.Sleep(time.Until(at.Add(stayTime)))
		leaving.leave()
		wait.Wait()
		for _, run := range leaving.allRuns() {
			if after := run.at.Sub(at); after > drainTime {
				broken = true
				w.note("DRAIN: request %s reached %s %.3f s after the acknowledgement, and was answered %d", run.id, leaving.id, after.Seconds(), replies[run.id].status)
			}
		}
	}
	wait.Wait()
	lost := 0
	for _, got := range replies {
		if got.status != http.StatusOK {
			lost++
		}
	}
	w.note("%d of %d requests were not answered with success", lost, len(replies))
	return broken
}
