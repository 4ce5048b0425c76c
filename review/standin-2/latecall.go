package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lateCallParents = 8
	sentAfter       = 800 * time.Millisecond  // from the SIGTERM to the requests of the clients
	beforeCallTime  = 2600 * time.Millisecond // the target works for so long before it makes its call
	calledWorkTime  = 2200 * time.Millisecond // the work of the called target
	callsCountAfter = 3 * time.Second         // calls sent later than that after the SIGTERM are not excused
)

func init() { plays["late-call"] = playLateCall }

// A madeCall is a call that a target has made through the daemon of its machine, with what came of it.
type madeCall struct {
	id     string
	sentAt time.Time
	gotAt  time.Time
	answer answer
}

// playLateCall stops a daemon while its target, which runs on, works on requests and calls another service late in the
// grace time.
func playLateCall(s *system, trouble bool) (string, error) {
	if err := s.startControls(); err != nil {
		return "", err
	}
	front, err := s.startDaemon(1, "sales")
	if err != nil {
		return "", err
	}
	if _, err := s.startDaemon(2, "ledger"); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var calls []madeCall
	sales := func(t *target, w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/order") {
			_, _ = io.WriteString(w, "ok")
			return
		}
		pause(r.Context(), beforeCallTime)
		c := madeCall{id: r.Header.Get("Sapphirespread-Request-Id") + ".1", sentAt: time.Now()}
		s.record.printf("the target makes call %s", c.id)
		c.answer = send(context.Background(), http.MethodPost, "http://"+s.address(t.host, outboundPort)+"/ledger/entry", "entry", map[string]string{
			"Host": "a.example", "Sapphirespread-Request-Id": c.id, "Sapphirespread-Deadline-Ms": "3400",
		})
		c.gotAt = time.Now()
		s.record.printf("call %s gets %v", c.id, c.answer)
		mu.Lock()
		calls = append(calls, c)
		mu.Unlock()
		if c.answer.err != nil || c.answer.status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	if _, err := s.startTarget(1, "sales", 230, sales); err != nil {
		return "", err
	}
	ledger, err := s.startTarget(2, "ledger", 230, func(t *target, w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/entry") {
			id := r.Header.Get("Sapphirespread-Request-Id")
			s.record.printf("target %s runs call %s", t.id, id)
			whole := pause(r.Context(), calledWorkTime)
			s.record.printf("target %s ends call %s, to its end: %t", t.id, id, whole)
		}
		_, _ = io.WriteString(w, "ok")
	})
	if err != nil {
		return "", err
	}
	document := `{"Version":1,"Routes":{
		"r-sales":{"Host":"a.example","PathPrefix":"/sales/","RouteType":"unsafe","TimeoutS":6,"AimS":1.5,"Priority":0,"Service":"sales","MaxAttempts":2,"AllowAnonymous":true},
		"r-ledger":{"Host":"a.example","PathPrefix":"/ledger/","RouteType":"unsafe","TimeoutS":6,"AimS":1.5,"Priority":0,"Service":"ledger","MaxAttempts":2,"AllowAnonymous":true}},
		"Services":{"sales":{"HealthPath":"/health","MaxConnections":1480,"Protocol":"h1","Tls":false},"ledger":{"HealthPath":"/health","MaxConnections":1480,"Protocol":"h1","Tls":false}},
		"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`
	if err := s.publish(0, document); err != nil {
		return "", err
	}
	if err := s.awaitReady(2, "a.example", "/sales/calm", "/ledger/calm"); err != nil {
		return "", err
	}
	time.Sleep(contactS * time.Second) // calm before the planned work
	stoppedAt := time.Now()
	if trouble {
		s.signal(front, syscall.SIGTERM)
		kill := time.AfterFunc(graceS*time.Second, func() {
			if !front.hasEnded() {
				s.signal(front, syscall.SIGKILL)
			}
		})
		defer kill.Stop()
	}
	time.Sleep(sentAfter)
	var group sync.WaitGroup
	for range lateCallParents {
		group.Go(func() {
			id := newID()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			// Its client is at the machine that goes on.
			a := send(ctx, http.MethodPost, "http://"+s.address(daemonHost(2), outboundPort)+"/sales/order", "order", map[string]string{
				"Host": "a.example", "Sapphirespread-Request-Id": id, "Sapphirespread-Deadline-Ms": "6000",
			})
			s.record.printf("the client's request %s gets %v", id, a)
		})
	}
	group.Wait()
	time.Sleep(calledWorkTime + time.Second)
	mu.Lock()
	defer mu.Unlock()
	ran := make(map[string]run)
	for _, one := range ledger.allRuns() {
		ran[one.id] = one
	}
	var broken []string
	for _, c := range calls {
		one, ranAtAll := ran[c.id]
		late := c.sentAt.Sub(stoppedAt) > callsCountAfter
		atWork := ranAtAll && one.arrived.Before(c.gotAt) && (one.ended.IsZero() || one.ended.After(c.gotAt) || !one.finished)
		if late && atWork && c.answer.signature == "" {
			broken = append(broken, fmt.Sprintf("call %s was sent %.2f s after the SIGTERM, passed on, and ended after %.2f s by %v with its target at work", c.id, c.sentAt.Sub(stoppedAt).Seconds(), c.gotAt.Sub(stoppedAt).Seconds(), c.answer))
		}
	}
	s.record.printf("%d calls made, %d reached the other target", len(calls), len(ran))
	if len(calls) == 0 {
		return "", fmt.Errorf("no call was made")
	}
	if len(broken) > 0 {
		return "LOST: " + strings.Join(broken, "; "), nil
	}
	return "", nil
}
