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

// stores are two services that take uploads, each on one machine, and the machines of the tenants that upload.
type stores struct {
	world   *world
	daemons map[int]*process
	kills   map[int]*atomic.Int64
	offices []int
}

// playIdleStreams lets the tenants of eight machines upload to two stores, and makes one tenant after the other send many
// times its usual. The rule is broken if the daemons beside both stores end three times for their memory.
func playIdleStreams(w *world) (broken bool) {
	s := startStores(w, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(storeWork)
		answerWith(w, []byte("stored"))
	})
	s.upload(usualRate, w.trouble)
	return s.ended()
}

// startStores starts all processes and servers, with work at the stores.
func startStores(w *world, work http.HandlerFunc) *stores {
	w.memoryMb = sidecarMemoryMb
	for _, host := range w.seeds {
		w.startControl(host)
	}
	services := map[int]string{4: "albums", 5: "scans"}
	s := &stores{world: w, daemons: map[int]*process{}, kills: map[int]*atomic.Int64{}}
	var all []int
	for _, host := range []int{4, 5} {
		s.daemons[host], s.kills[host] = w.startDaemon(host, services[host]), &atomic.Int64{}
		all = append(all, host)
	}
	for host := 6; host < 6+offices; host++ {
		services[host] = "front"
		w.startDaemon(host, "front")
		all, s.offices = append(all, host), append(s.offices, host)
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
	for _, host := range all {
		w.startTarget(host, services[host], storeSlots, work)
	}
	w.awaitReady(all...)
	time.Sleep(4 * time.Second)
	for host, p := range s.daemons {
		go p.limitMemory(int64(w.memoryMb)<<20, s.kills[host])
	}
	return s
}

// ended reports whether the daemons beside both stores were ended for their memory often enough to break the rule.
func (s *stores) ended() bool {
	broken := true
	for _, host := range []int{4, 5} {
		s.world.note("%s was ended for its memory %d times; its peak was %d MB", s.daemons[host].name, s.kills[host].Load(), s.daemons[host].peak.Load()>>20)
		broken = broken && s.kills[host].Load() >= endsAllowed
	}
	return broken
}

// upload sends rate uploads a second from each office to each store, and more from one office after the other if one is hot.
func (s *stores) upload(usual float64, oneIsHot bool) {
	w := s.world
	var hot atomic.Int64
	hot.Store(-1)
	end := time.Now().Add(uploadTime)
	content := bytes.Repeat([]byte("x"), uploadBytes)
	counts := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, host := range s.offices {
		for _, service := range []string{"albums", "scans"} {
			wait.Go(func() {
				client := newTransport()
				for time.Now().Before(end) {
					rate := usual
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
		if oneIsHot && i > 0 {
			hot.Store(int64(i % offices))
		}
		for range int(hotTime / time.Second) {
			time.Sleep(time.Second)
			w.note("hot tenant %d; resident: albums %d MB, scans %d MB", hot.Load(), s.daemons[4].resident()>>20, s.daemons[5].resident()>>20)
		}
	}
	wait.Wait()
	w.note("answers by service and status: %v", counts)
}
