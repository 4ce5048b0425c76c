package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// registerControl registers the endpoints for health, load, statistics and fault injection.
func (s *Server) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /standin/health", s.handleHealth)
	mux.HandleFunc("GET /standin/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	mux.HandleFunc("GET /standin/runs", s.handleRuns)
	mux.HandleFunc("POST /standin/slow", s.handleSlow)
	mux.HandleFunc("POST /standin/heal", func(w http.ResponseWriter, _ *http.Request) { s.Heal(); writeNoContent(w) })
	mux.HandleFunc("POST /standin/drain", func(w http.ResponseWriter, _ *http.Request) { s.Drain(); writeNoContent(w) })
	mux.HandleFunc("POST /standin/crash", func(w http.ResponseWriter, _ *http.Request) { s.Crash(); writeNoContent(w) })
	mux.HandleFunc("POST /standin/report", s.handleReport)
}

func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	health := s.reporter.health()
	if health == Hanging {
		<-r.Context().Done()
		return
	}
	if health == Failing || health == Honest && s.draining.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	writeNoContent(w)
}

func (s *Server) handleRuns(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, struct {
		Runs int `json:"runs"`
	}{s.Runs(r.URL.Query().Get("key"))})
}

func (s *Server) handleSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(w, "factor: want a number above 0", http.StatusBadRequest)
		return
	}
	s.Slow(factor)
	writeNoContent(w)
}

func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	distortion, err := parseDistortion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Distort(distortion)
	writeNoContent(w)
}

func parseDistortion(r *http.Request) (Distortion, error) {
	query := r.URL.Query()
	d := Distortion{SlotsFactor: 1, Health: Honest}
	var err error
	if text := query.Get("lag"); text != "" {
		if d.Lag, err = time.ParseDuration(text); err != nil || d.Lag < 0 {
			return d, errorx.IllegalArgument.New("lag %q: want a duration such as 10s", text)
		}
	}
	if text := query.Get("slots-factor"); text != "" {
		if d.SlotsFactor, err = strconv.ParseFloat(text, 64); err != nil || d.SlotsFactor <= 0 {
			return d, errorx.IllegalArgument.New("slots-factor %q: want a number above 0", text)
		}
	}
	if text := query.Get("health"); text != "" {
		d.Health = HealthMode(text)
	}
	switch d.Health {
	case Honest, Healthy, Failing, Hanging:
		return d, nil
	default:
		return d, errorx.IllegalArgument.New("health %q: want honest, healthy, failing or hanging", d.Health)
	}
}

func writeNoContent(w http.ResponseWriter) {
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
