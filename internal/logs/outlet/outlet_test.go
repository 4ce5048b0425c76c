package outlet_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/logs/outlet"
)

// A stalled writer takes nothing until it is released.
type stalled struct {
	mu       sync.Mutex
	content  bytes.Buffer
	released chan struct{}
}

func (s *stalled) Write(content []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.Write(content)
}

func (s *stalled) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.String()
}

// TestLinesAreBoundedAndNeverWait floods an outlet whose reader stalls, and expects urgent lines to be kept and the others counted.
func TestLinesAreBoundedAndNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stalled{released: make(chan struct{})}
		o := outlet.New(to)
		logger := zerolog.New(o)
		began := time.Now()
		for range 1000 {
			logger.Info().Msg("usual")
		}
		for range 100 {
			logger.Warn().Msg("urgent")
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("writing took %s beside a stalled reader", waited)
		}
		close(to.released)
		time.Sleep(3 * time.Second)
		o.Close()
		text := to.String()
		usual, urgent := strings.Count(text, "\"usual\"}"), strings.Count(text, "\"urgent\"}")
		if usual == 0 || usual > 200 || urgent != 100 {
			t.Errorf("%d usual and %d urgent lines", usual, urgent)
		}
		if dropped, _ := o.Dropped(); int(dropped) != 1000-usual || !strings.Contains(text, "lines dropped") {
			t.Errorf("%d dropped, told: %t", dropped, strings.Contains(text, "lines dropped"))
		}
	})
}

// TestStatesAreKeptInAFlood floods an outlet with requests of both levels in a second in which a dependency is lost.
func TestStatesAreKeptInAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var to bytes.Buffer
		o := outlet.New(&to)
		requests, states := zerolog.New(o), zerolog.New(o.States())
		for range 5000 {
			requests.Info().Msg("request")
			requests.Warn().Msg("request")
		}
		states.Info().Msg("detached")
		states.Warn().Msg("stopping")
		time.Sleep(3 * time.Second)
		o.Close()
		for _, line := range []string{`"detached"`, `"stopping"`} {
			if !strings.Contains(to.String(), line) {
				t.Errorf("%s is lost in the flood", line)
			}
		}
	})
}
