package pipeline

import (
	"net/http"
	"sync"
	"time"
)

// shortageLogPeriod is the time between two lines about the lack of room.
const shortageLogPeriod = 10 * time.Second

// A shortageLog limits how often the lack of room is logged.
type shortageLog struct {
	mu   sync.Mutex
	last time.Time
}

// due reports whether a line may be logged now.
func (l *shortageLog) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) < shortageLogPeriod {
		return false
	}
	l.last = now
	return true
}

// logShortage logs, once in a while, that clients are refused or given up and what they hold.
func (s *Server) logShortage() {
	if !s.shortage.due(time.Now()) {
		return
	}
	stats := s.budget.Stats()
	s.logger.Warn().Int("open", stats.Open).Interface("bytes", stats.Bytes).Int64("given-up", stats.GivenUp).
		Int64("refused-connections", stats.RefusedConnections).Int64("refused", stats.Refused).
		Msg("callers: no room for all clients")
}

// refuseWithoutRoom is the default refusal of a request for which there is no room.
func refuseWithoutRoom(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
