package daemon_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

const (
	surgeRate     = 40
	surgeBurst    = 100
	surgeFillTime = surgeBurst * time.Second / surgeRate
	surgeSlots    = 2
	surgePause    = 10 * time.Millisecond
	surgeCallers  = 48
)

// surgeSet returns a configuration in which a surge exceeds the rate limit of one workspace. The rate limit of the
// other workspace exceeds the capacity of the backend servers.
func surgeSet() configuration.Set {
	set := baseSet()
	set.Limits = append(set.Limits, configuration.Limit{Name: "surge", Rate: surgeRate, Burst: surgeBurst})
	set.Workspaces[0].Limit = "surge"
	return set
}

// A surge sends more requests than the backend servers can run, and checks that each request ran as its answer says.
type surge struct {
	t       *testing.T
	runs    *runTable
	started time.Time
	stopped chan struct{}
	senders sync.WaitGroup
	mu      sync.Mutex
	sent    []surgeRequest
}

// A surgeRequest is one request of a surge and its reply.
type surgeRequest struct {
	id         string
	workspace  string
	booking    bool
	answeredAt time.Time
	reply      reply
}

func (s *surge) handle(w http.ResponseWriter, r *http.Request) {
	s.runs.add(r.URL.RawQuery)
	time.Sleep(surgePause)
	_, _ = io.WriteString(w, "whole")
}

func newSurge(t *testing.T) *surge {
	return &surge{t: t, runs: &runTable{runs: make(map[string]int)}, stopped: make(chan struct{})}
}

// start sends requests through the daemons in turn until stop is called.
func (s *surge) start(entries ...*daemonProcess) {
	s.started = time.Now()
	for caller := range surgeCallers {
		s.senders.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-s.stopped:
					return
				default:
				}
				request := surgeRequest{id: fmt.Sprintf("%d-%d", caller, number), workspace: []string{"club", "federation"}[caller%2], booking: number%2 == 1}
				s.send(entries[(caller/2+number)%len(entries)], request)
			}
		})
	}
}

func (s *surge) send(d *daemonProcess, sent surgeRequest) {
	path := "/courts/1?"
	if sent.booking {
		path = "/bookings?"
	}
	request, _ := http.NewRequest(http.MethodPost, "http://"+d.callers.String()+path+sent.id, strings.NewReader("court 3"))
	request.Header.Set("Authorization", "Bearer "+secretOf(sent.workspace))
	if sent.booking {
		request.Header.Set("Idempotency-Key", "surge-"+sent.id)
	}
	request.Close = true
	sent.reply = send(request)
	sent.answeredAt = time.Now()
	s.mu.Lock()
	s.sent = append(s.sent, sent)
	s.mu.Unlock()
	if sent.reply.status != http.StatusOK {
		time.Sleep(surgePause)
	}
}

// limitedAnswers counts the requests of the limited workspace that were answered with 200.
func (s *surge) limitedAnswers() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.sent {
		if request.reply.status == http.StatusOK && request.workspace == "club" {
			count++
		}
	}
	return count
}

// awaitRecovery waits until several requests of both kinds and workspaces are answered, at a time when the grants from
// before the call have expired.
func (s *surge) awaitRecovery() {
	s.t.Helper()
	const enough, grantsEnd = 15, time.Second
	now := time.Now()
	eventually(s.t, "the system serves again", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		kinds := make(map[string]int)
		for _, request := range s.sent {
			if request.reply.status == http.StatusOK && request.answeredAt.After(now.Add(grantsEnd)) {
				kinds[fmt.Sprint(request.workspace, request.booking)]++
			}
		}
		least := enough
		for _, workspace := range []string{"club", "federation"} {
			least = min(least, kinds[fmt.Sprint(workspace, true)], kinds[fmt.Sprint(workspace, false)])
		}
		return least == enough
	})
}

// stop ends the surge. It checks that no booking ran twice, that no request refused as not run has run, and that the
// limited workspace stayed within its rate and burst.
func (s *surge) stop() {
	s.t.Helper()
	close(s.stopped)
	s.senders.Wait()
	window := time.Since(s.started)
	limited, notRun, answered := 0, 0, 0
	for _, request := range s.sent {
		ran := s.runs.count(request.id)
		if request.booking && ran > 1 {
			s.t.Errorf("%s: booking ran %d times", request.id, ran)
		}
		if request.reply.header.Get(headerRunState) == "not-run" {
			notRun++
			if ran > 0 {
				s.t.Errorf("%s: refused with %s as not run, but ran %d times", request.id, request.reply.refusal(), ran)
			}
		}
		if request.reply.status == http.StatusOK {
			answered++
		}
		if request.workspace == "club" && ran > 0 {
			limited++
		}
	}
	if bound := surgeBurst + surgeRate*window.Seconds(); float64(limited) > bound {
		s.t.Errorf("%d requests of the limited workspace ran, but rate and burst allow only %.0f", limited, bound)
	}
	s.t.Logf("%d sent, %d answered, %d refused as not run, %d of the limited workspace ran in %s", len(s.sent), answered, notRun, limited, window)
	if answered == 0 || limited < surgeBurst {
		s.t.Error("too few requests ran for a surge")
	}
}

// unknownOutcomes returns the requests whose outcome is unknown. It excludes connections that the daemon had not
// accepted when its listener closed: the operating system resets them, and their requests have not run.
func (s *surge) unknownOutcomes() (unknown []surgeRequest) {
	for _, request := range s.sent {
		notAccepted := errors.Is(request.reply.err, syscall.ECONNREFUSED) || errors.Is(request.reply.err, syscall.ECONNRESET) && s.runs.count(request.id) == 0
		if request.reply.err != nil && !notAccepted || request.reply.header.Get(headerRunState) == "unknown" {
			unknown = append(unknown, request)
		}
	}
	return unknown
}

// surgeCluster starts a cluster with two targets of each service, each with its own daemon, and returns the daemons.
func surgeCluster(t *testing.T, s *surge, controls int) (*cluster, []*daemonProcess) {
	c := newClusterOf(t, controls, surgeSet())
	var daemons []*daemonProcess
	for i, domain := range []string{"domain-1", "domain-2"} {
		c.domain = domain
		for _, service := range []string{"courts", "bookings"} {
			name := fmt.Sprintf("%s-%d", service, i+1)
			d := c.daemon(name)
			d.crash = d.serveSlots(name, service, surgeSlots, s.handle)
			daemons = append(daemons, d)
		}
	}
	for _, d := range daemons {
		eventually(t, "answers", func() bool {
			return d.book("warm-up", time.Second).status == http.StatusOK
		})
	}
	return c, daemons
}

// TestPromisesHoldInASurgeWithASecondFault checks that the guarantees of a surge hold if another fault occurs during
// it, such as the loss of the control leader, and that the system recovers.
func TestPromisesHoldInASurgeWithASecondFault(t *testing.T) {
	cases := []struct {
		name             string
		controls         int
		fault            func(t *testing.T, s *surge, c *cluster, daemons []*daemonProcess)
		noUnknownOutcome bool
	}{
		{"leader lost", 3, func(_ *testing.T, _ *surge, c *cluster, _ []*daemonProcess) { c.leader().kill() }, false},
		{"leader frozen while it grants", 3, func(_ *testing.T, s *surge, c *cluster, _ []*daemonProcess) {
			frozen := c.leader()
			frozen.signal(syscall.SIGSTOP)
			defer frozen.signal(syscall.SIGCONT)
			s.awaitRecovery()
		}, false},
		{"failure domain lost", 1, func(_ *testing.T, _ *surge, _ *cluster, daemons []*daemonProcess) {
			for _, lost := range daemons[2:] {
				lost.kill()
				lost.crash()
			}
		}, false},
		{"daemon stopped", 1, func(t *testing.T, _ *surge, _ *cluster, daemons []*daemonProcess) {
			for _, leaving := range daemons[2:] {
				leaving.signal(syscall.SIGTERM)
			}
			for _, leaving := range daemons[2:] {
				if err := leaving.command.Wait(); err != nil {
					t.Errorf("exit: %v", err)
				}
			}
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSurge(t)
			cluster, daemons := surgeCluster(t, s, c.controls)
			time.Sleep(surgeFillTime)
			s.start(daemons...)
			eventually(t, "the burst is spent", func() bool { return s.limitedAnswers() > surgeBurst })
			c.fault(t, s, cluster, daemons)
			s.awaitRecovery()
			s.stop()
			if unknown := s.unknownOutcomes(); c.noUnknownOutcome && len(unknown) > 0 {
				t.Errorf("%d requests have an unknown outcome, the first %s: %+v, %v, %d runs", len(unknown), unknown[0].id, unknown[0].reply, unknown[0].reply.err, s.runs.count(unknown[0].id))
			}
		})
	}
}
