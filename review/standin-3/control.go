package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// startControl starts the control process of a core machine.
func (w *world) startControl(host int) *process {
	return w.run(fmt.Sprintf("control-%d", host), "control", w.settings(host, "core", ""))
}

// startDaemon starts the daemon of a sidecar machine.
func (w *world) startDaemon(host int, service string) *process {
	return w.run(fmt.Sprintf("daemon-%d", host), "daemon", w.settings(host, "sidecar", service))
}

// An answer is what the system has answered to a call of its own interfaces, with status 0 if it has not.
type answer struct {
	status int
	body   string
}

// call calls one of the system's own interfaces. It follows a redirect.
func call(method, url, body string, timeout time.Duration, headers ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{response.StatusCode, string(content)}
}

// put publishes the first configuration, at one control process after the other until one acknowledges it.
func (w *world) put(document string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, host := range w.seeds {
			got := call(http.MethodPost, "http://"+w.address(host, controlPort)+"/v1/config/put", document, time.Second, "Sapphirespread-Base-Version", "0")
			if got.status == http.StatusOK {
				w.note("the configuration is acknowledged by control-%d", host)
				return
			}
			if got.status >= http.StatusBadRequest && got.status < http.StatusInternalServerError {
				panic("the configuration is refused: " + got.body)
			}
		}
	}
	panic("no answer to a configuration")
}

// awaitReady waits until a daemon says that it is ready.
func (w *world) awaitReady(hosts ...int) {
	for _, host := range hosts {
		w.eventually(fmt.Sprintf("daemon-%d to be ready", host), 20*time.Second, func() bool {
			return call(http.MethodGet, "http://"+w.address(host, readyPort)+"/v1/ready", "", time.Second).status == http.StatusOK
		})
	}
}
