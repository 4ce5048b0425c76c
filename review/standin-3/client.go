package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint32

// newID returns the id of a client attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixMilli()), lastRequest.Add(1))
}

// A reply is what a client got for one attempt.
type reply struct {
	id     string
	status int // 0 without an answer
	sentAt time.Time
	at     time.Time
	err    error
}

// failure returns the error of an attempt without a whole answer, or nothing.
func (r reply) failure() string {
	if r.err == nil {
		return ""
	}
	return r.err.Error()
}

// newTransport returns the connections of one client.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
}

// send sends one attempt to a machine and reads the answer.
func (w *world) send(client *http.Transport, host int, method, path string, body *bytes.Reader, deadline time.Duration, headers ...string) reply {
	got := reply{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(w.ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.address(host, outboundPort)+path, body)
	if err != nil {
		panic(err)
	}
	request.Host = "a.example"
	request.Header.Set(idHeader, got.id)
	request.Header.Set(deadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.RoundTrip(request)
	if err == nil {
		got.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	got.at, got.err = time.Now(), err
	return got
}
