package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	manyRoutes       = 1840 // the largest step by which a configuration grows
	ordersAtOnce     = 8    // "up to eight orders may be in progress at once"
	orderPause       = 100 * time.Millisecond
	ordersTime       = 60 * time.Second
	coreMemoryMb     = 280
	endsThatCount    = 3
	restartDelay     = 500 * time.Millisecond
	orderPatience    = 2 * time.Second // a second for an answer, "more for large bodies"
	firstBackoff     = 100 * time.Millisecond
	longestBackoff   = 2 * time.Second
	redirectsAnOrder = 2
)

func init() { plays["big-orders"] = playBigOrders }

// playBigOrders has operators change a large configuration, up to eight orders at once, or one at a time each second. The
// platform kills a process whose memory is over MemoryMb, and starts it again.
func playBigOrders(s *system, trouble bool) (string, error) {
	if err := s.startControls(); err != nil {
		return "", err
	}
	if _, err := s.startDaemon(1, "front"); err != nil {
		return "", err
	}
	if err := s.publish(0, largeDocument(1, 0)); err != nil {
		return "", err
	}
	s.record.printf("the configuration has %d routes and %d bytes", manyRoutes+1, len(largeDocument(1, 0)))
	o := &operators{system: s}
	o.version.Store(1)
	ctx, cancel := context.WithTimeout(context.Background(), ordersTime)
	defer cancel()
	watched := s.watchMemory(ctx)
	atOnce, pauseTime := ordersAtOnce, orderPause
	if !trouble {
		atOnce, pauseTime = 1, time.Second
	}
	var group sync.WaitGroup
	for range atOnce {
		group.Go(func() {
			for ctx.Err() == nil {
				o.change(ctx)
				pause(ctx, pauseTime)
			}
		})
	}
	group.Wait()
	ends, most := watched()
	s.record.printf("%d orders: %d acknowledged, %d lost to another; most memory of a control process %d MiB of %d; ends for memory by machine %v", o.orders.Load(), o.acknowledged.Load(), o.lost.Load(), most, coreMemoryMb, ends)
	machines := 0
	for _, count := range ends {
		if count >= endsThatCount {
			machines++
		}
	}
	if 2*machines >= controls {
		return fmt.Sprintf("Fault: on %d of %d core machines processes ended by themselves (memory over the limit) %d times or more, with no disruption there: %v", machines, controls, endsThatCount, ends), nil
	}
	return "", nil
}

// largeDocument returns a valid configuration with many routes. Versions differ in the time-out of one route.
func largeDocument(version int64, change int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"Version":%d,"Routes":{`, version)
	for i := range manyRoutes {
		fmt.Fprintf(&b, `"r-%d":{"Host":"h%d.example","PathPrefix":"/p%d/","RouteType":"safe","TimeoutS":6,"AimS":1.5,"Priority":2,"Service":"front","MaxAttempts":2,"AllowAnonymous":false},`, i, i%50, i)
	}
	fmt.Fprintf(&b, `"r-last":{"Host":"last.example","PathPrefix":"/last/","RouteType":"safe","TimeoutS":%d,"AimS":1.5,"Priority":2,"Service":"front","MaxAttempts":2,"AllowAnonymous":false}},`, 2+change%300)
	b.WriteString(`"Services":{"front":{"HealthPath":"/health","MaxConnections":1138,"Protocol":"h1","Tls":false}},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`)
	return b.String()
}

// operators change the configuration as the users' pages say.
type operators struct {
	system       *system
	version      atomic.Int64
	orders       atomic.Int64
	acknowledged atomic.Int64
	lost         atomic.Int64
}

// change sends one order on top of the newest version, again and again until it gets a clear answer.
func (o *operators) change(ctx context.Context) {
	base := o.version.Load()
	version := base + 1 + rand.Int64N(5)
	document := largeDocument(version, int(o.orders.Add(1)))
	backoff := firstBackoff
	for host := rand.IntN(controls); ctx.Err() == nil; host++ {
		switch o.send(ctx, 1+host%controls, base, document) {
		case http.StatusOK:
			o.acknowledged.Add(1)
			o.version.Store(max(o.version.Load(), version))
			return
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.lost.Add(1)
			o.read(ctx)
			return
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, longestBackoff)
	}
}

// send sends an order to one control machine, follows its redirects, and returns the status of the answer, or 0.
func (o *operators) send(ctx context.Context, host int, base int64, document string) int {
	url := "http://" + o.system.address(host, controlPort) + "/v1/config/put"
	for range 1 + redirectsAnOrder {
		attempt, cancel := context.WithTimeout(ctx, orderPatience)
		a := send(attempt, http.MethodPost, url, document, map[string]string{"Sapphirespread-Base-Version": fmt.Sprint(base), "Content-Type": "application/json"})
		cancel()
		if a.err != nil {
			return 0
		}
		if a.status != http.StatusTemporaryRedirect {
			return a.status
		}
		url = a.header.Get("Location")
	}
	return 0
}

// read learns the newest version.
func (o *operators) read(ctx context.Context) {
	for host := rand.IntN(controls); ctx.Err() == nil; host++ {
		attempt, cancel := context.WithTimeout(ctx, orderPatience)
		a := send(attempt, http.MethodGet, "http://"+o.system.address(1+host%controls, controlPort)+"/v1/config/get", "", nil)
		cancel()
		var got struct {
			Version int64 `json:"Version"`
		}
		if a.err == nil && a.status == http.StatusOK && json.Unmarshal(a.body, &got) == nil {
			if got.Version > o.version.Load() {
				o.version.Store(got.Version)
			}
			return
		}
		pause(ctx, firstBackoff)
	}
}

// watchMemory kills each control process that holds more than its memory, and starts it again, until ctx ends. The function
// that it returns then tells how often that was on each machine, and the most memory that was seen.
func (s *system) watchMemory(ctx context.Context) func() (ends [controls]int, most int) {
	var ends [controls]int
	most := 0
	var group sync.WaitGroup
	var mu sync.Mutex
	for machine := range controls {
		group.Go(func() {
			p := s.control(machine + 1)
			for pause(ctx, 20*time.Millisecond) {
				now := residentMiB(p)
				mu.Lock()
				most = max(most, now)
				mu.Unlock()
				if now <= coreMemoryMb {
					continue
				}
				s.record.printf("%s holds %d MiB, more than MemoryMb: the platform kills it", p.name, now)
				s.signal(p, syscall.SIGKILL)
				<-p.ended
				mu.Lock()
				ends[machine]++
				mu.Unlock()
				pause(ctx, restartDelay)
				if ctx.Err() != nil {
					return
				}
				restarted, err := s.startControl(machine + 1)
				if err != nil {
					s.record.printf("%v", err)
					return
				}
				p = restarted
			}
		})
	}
	return func() ([controls]int, int) {
		group.Wait()
		return ends, most
	}
}
