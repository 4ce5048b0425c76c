package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	sidecarMemoryMb = 184
	offices         = 8
	storeSlots      = 429
	storeWork       = 1800 * time.Millisecond
	uploadBytes     = 360_000
	// usualRate is how many uploads an office sends to each store in a second.
	usualRate = 4
	// hotFactor is by how much an office sends more while it is the hot tenant.
	hotFactor  = 7.5
	hotTime    = 3 * time.Second
	uploadTime = 75 * time.Second
	// restartPause is the time after which the platform starts a process again.
	restartPause = 300 * time.Millisecond
	// endsAllowed is how often the process of a machine may not end by itself in a day, on two machines.
	endsAllowed = 3
)

func init() { plays["idle-streams"] = playIdleStreams }

// limitMemory ends a process whenever it uses more than its memory, as the platform does, and starts it again.
func (p *process) limitMemory(limit int64, kills *atomic.Int64) {
	for p.world.ctx.Err() == nil {
		time.Sleep(samplePeriod)
		used := p.resident()
		if used <= limit {
			continue
		}
		p.world.note("platform: %s uses %d MB, more than its %d MB", p.name, used>>20, limit>>20)
		kills.Add(1)
		p.signal(syscall.SIGKILL)
		<-p.ended()
		time.Sleep(restartPause)
		if p.world.ctx.Err() == nil {
			p.start()
		}
	}
}

// playIdleStreams lets the tenants of eight machines upload to two stores, and makes one tenant after the other send many
// times its usual. The rule is broken if the daemons beside both stores end three times for their memory.
func playIdleStreams(w *world) (broken bool) {
	w.memoryMb = sidecarMemoryMb
	for _, host := range w.seeds {
		w.startControl(host)
	}
	stores := map[int]string{4: "albums", 5: "scans"}
	daemons, kills := map[int]*process{}, map[int]*atomic.Int64{}
	var all, fronts []int
	for _, host := range []int{4, 5} {
		daemons[host], kills[host] = w.startDaemon(host, stores[host]), &atomic.Int64{}
		all = append(all, host)
	}
	for host := 6; host < 6+offices; host++ {
		w.startDaemon(host, "front")
		all, fronts = append(all, host), append(fronts, host)
	}
	var tenants []string
	for i := range offices {
		tenants = append(tenants, fmt.Sprintf(`"t%d":{"ApiKeys":["key-%d"],"Priority":1,"RatePerS":500,"Burst":500}`, i, i))
	}
	routeText := func(service string) string {
		return fmt.Sprintf(`"r-%s":{"Host":"a.example","PathPrefix":"/%s/","RouteType":"upload","TimeoutS":8,"AimS":3,"Priority":0,"Service":%q,"MaxAttempts":2,"AllowAnonymous":false}`, service, service, service)
	}
	w.put(`{"Version":5,"Routes":{` + routeText("albums") + `,` + routeText("scans") + `},"Services":{` + serviceText("albums") + `,` + serviceText("scans") + `,` +
		serviceText("front") + `},"Limits":` + limitsText + `,"Tenants":{` + strings.Join(tenants, ",") + `}}`)
	store := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(storeWork)
		answerWith(w, []byte("stored"))
	}
	for _, host := range all {
		service := stores[host]
		if service == "" {
			service = "front"
		}
		w.startTarget(host, service, storeSlots, store)
	}
	w.awaitReady(all...)
	time.Sleep(4 * time.Second)
	for host, p := range daemons {
		go p.limitMemory(int64(w.memoryMb)<<20, kills[host])
	}
	counts := w.upload(fronts, daemons)
	w.note("answers by service and status: %v", counts)
	broken = true
	for _, host := range []int{4, 5} {
		w.note("%s was ended for its memory %d times; its peak was %d MB", daemons[host].name, kills[host].Load(), daemons[host].peak.Load()>>20)
		broken = broken && kills[host].Load() >= endsAllowed
	}
	return broken
}

// upload sends the uploads of all offices and returns how often which status came.
func (w *world) upload(fronts []int, daemons map[int]*process) map[string]int {
	var hot atomic.Int64
	hot.Store(-1)
	end := time.Now().Add(uploadTime)
	content := bytes.Repeat([]byte("x"), uploadBytes)
	counts := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, host := range fronts {
		for _, service := range []string{"albums", "scans"} {
			wait.Go(func() {
				client := newTransport()
				for time.Now().Before(end) {
					rate := float64(usualRate)
					if hot.Load() == int64(i) {
						rate *= hotFactor
					}
					time.Sleep(time.Duration(float64(time.Second) / rate))
					wait.Go(func() {
						got := w.send(client, host, http.MethodPost, "/"+service+"/new", bytes.NewReader(content), 8*time.Second, "Authorization", fmt.Sprintf("Bearer key-%d", i))
						mu.Lock()
						defer mu.Unlock()
						counts[fmt.Sprintf("%s %d", service, got.status)]++
					})
				}
			})
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		if w.trouble && i > 0 {
			hot.Store(int64(i % offices))
		}
		for range int(hotTime / time.Second) {
			time.Sleep(time.Second)
			w.note("hot tenant %d; resident: albums %d MB, scans %d MB", hot.Load(), daemons[4].resident()>>20, daemons[5].resident()>>20)
		}
	}
	wait.Wait()
	return counts
}
