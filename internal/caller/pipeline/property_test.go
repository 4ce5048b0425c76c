package pipeline_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEachRequestGetsItsOwnAnswer sends drawn sequences of requests, with bodies of all framings, cut into pieces anywhere.
// The standard library's reader of responses judges who got which answer.
func TestEachRequestGetsItsOwnAnswer(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("Stream") != "" {
			_, _ = io.WriteString(w, r.URL.Path)
			_ = http.NewResponseController(w).Flush()
			_, _ = fmt.Fprintf(w, " %s", content)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, content)
	})
	rapid.Check(t, func(rt *rapid.T) {
		var sent strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 12).Draw(rt, "requests") {
			path := fmt.Sprintf("/%d", i)
			headers := "Host: x\r\n"
			if rapid.Bool().Draw(rt, "streamed answer") {
				headers += "Stream: yes\r\n"
			}
			body := strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", rapid.IntRange(0, 300).Draw(rt, "body"))
			switch rapid.IntRange(0, 2).Draw(rt, "framing") {
			case 0:
				body = ""
				fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\n%s\r\n", path, headers)
			case 1:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
			default:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n", path, headers)
				if body != "" {
					fmt.Fprintf(&sent, "%x\r\n%s\r\n", len(body), body)
				}
				sent.WriteString("0\r\n\r\n")
			}
			want = append(want, path+" "+body)
		}
		c := s.dial(t)
		go func() {
			for text := sent.String(); text != ""; {
				n := min(len(text), 700)
				if _, err := io.WriteString(c, text[:n]); err != nil {
					return
				}
				text = text[n:]
			}
		}()
		for i, expected := range want {
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				rt.Fatalf("answer %d: %v", i, err)
			}
			content, err := io.ReadAll(response.Body)
			if err != nil || string(content) != expected {
				rt.Fatalf("answer %d: %d bytes, %v; want %d bytes", i, len(content), err, len(expected))
			}
		}
		_ = c.Close()
	})
}
