package logwriter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/logs/logwriter"
)

// A stalledWriter blocks every write until it is released.
type stalledWriter struct {
	mu       sync.Mutex
	content  bytes.Buffer
	released chan struct{}
}

func (s *stalledWriter) Write(content []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.Write(content)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.String()
}

// TestLinesAreBoundedAndNeverWait floods a Writer whose underlying writer is blocked. Logging must not wait, urgent
// lines must be written, and usual lines above the limit must be dropped and counted.
func TestLinesAreBoundedAndNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stalledWriter{released: make(chan struct{})}
		w := logwriter.New(to)
		logger := zerolog.New(w)
		start := time.Now()
		for range 1000 {
			logger.Info().Msg("usual")
		}
		for range 100 {
			logger.Warn().Msg("urgent")
		}
		if waited := time.Since(start); waited > 0 {
			t.Errorf("logging took %s while the writer was blocked", waited)
		}
		close(to.released)
		time.Sleep(3 * time.Second)
		w.Close()
		text := to.String()
		usual, urgent := strings.Count(text, "\"usual\"}"), strings.Count(text, "\"urgent\"}")
		if usual == 0 || usual > 200 || urgent != 100 {
			t.Errorf("got %d usual and %d urgent lines, want 1 to 200 usual and 100 urgent lines", usual, urgent)
		}
		if dropped, _ := w.Dropped(); int(dropped) != 1000-usual || !strings.Contains(text, "lines dropped") {
			t.Errorf("%d lines dropped, drops reported in the log: %t", dropped, strings.Contains(text, "lines dropped"))
		}
	})
}

// TestStatesAreKeptInAFlood floods a Writer with usual and urgent request lines in the second in which a dependency is
// lost. The state lines of that second must still be written.
func TestStatesAreKeptInAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var to bytes.Buffer
		w := logwriter.New(&to)
		requests, states := zerolog.New(w), zerolog.New(w.StateWriter())
		for range 5000 {
			requests.Info().Msg("request")
			requests.Warn().Msg("request")
		}
		states.Info().Msg("detached")
		states.Warn().Msg("stopping")
		time.Sleep(3 * time.Second)
		w.Close()
		for _, line := range []string{`"detached"`, `"stopping"`} {
			if !strings.Contains(to.String(), line) {
				t.Errorf("state line %s was dropped during a flood of request lines", line)
			}
		}
	})
}
