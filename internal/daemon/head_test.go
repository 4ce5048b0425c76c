package daemon_test

import (
	"net/http"
	"testing"
)

// TestAnswerToHEADIsWholeWithoutABody guards against HEAD requests that fail because the body of the declared length never
// comes.
func TestAnswerToHEADIsWholeWithoutABody(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	served := f.backend("courts-1", "courts", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/courts/short":
			w.Header().Set("Content-Length", "600")
		case "/courts/long":
			w.Header().Set("Content-Length", "1000000")
		}
	})
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		f.eventually("an answer", func() bool {
			return ask(d.daemon, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
		})
		for path, length := range map[string]string{"/courts/short": "600", "/courts/long": "1000000", "/courts/fast": ""} {
			got := ask(d.daemon, http.MethodHead, path, "club", "")
			if got.err != nil || got.status != http.StatusOK || length != "" && got.header.Get("Content-Length") != length {
				t.Errorf("%s, %s: %d %q %v", name, path, got.status, got.header.Get("Content-Length"), got.err)
			}
		}
	}
}
