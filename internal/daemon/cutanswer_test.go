package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"sapphirespread.example/refusal"
)

// TestAnswerCutInItsBodyIsNotTakenForACallerThatLeft guards against requests that end as cancelled, untried elsewhere, when a
// backend server breaks off an answer of declared length.
func TestAnswerCutInItsBodyIsNotTakenForACallerThatLeft(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	cut := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/fast") {
			return
		}
		w.Header().Set("Content-Length", "600")
		_, _ = w.Write(make([]byte, 300))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	served := f.backend("courts-1", "courts", cut)
	entry, _, _ := f.daemon("entry")
	ways := map[string]*backendServer{"beside": served, "across": {daemon: entry}}
	for name, d := range ways {
		f.eventually("an answer", func() bool {
			return ask(d.daemon, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
		})
		if got := ask(d.daemon, http.MethodPost, "/courts/1", "club", "body"); got.refusal() != string(refusal.TargetFailed) || !isUnknownOutcome(got) {
			t.Errorf("%s, alone: %d %q %v", name, got.status, got.refusal(), got.err)
		}
	}
	f.backend("courts-2", "courts", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	for name, d := range ways {
		f.eventually("the other target is in use", func() bool {
			return ask(d.daemon, http.MethodGet, "/courts/fast", "club", "").body == "whole"
		})
		for i := range 20 {
			if got := ask(d.daemon, http.MethodPost, fmt.Sprint("/courts/", i), "club", "body"); got.status != http.StatusOK || got.body != "whole" {
				t.Errorf("%s, request %d: %d %q %v", name, i, got.status, got.refusal(), got.err)
			}
		}
	}
}
