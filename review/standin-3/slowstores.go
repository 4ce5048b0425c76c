package main

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// busyRate is how many uploads an office sends to each store in a second: 23 MB a second reach a store.
	busyRate      = 8
	readTime      = 5500 * time.Millisecond
	readPieces    = 22
	readBufferLen = uploadBytes / readPieces
)

func init() { plays["slow-stores"] = playSlowStores }

// playSlowStores lets the tenants of eight machines upload to two stores, whose servers read slowly. The rule is broken if the
// daemons beside both stores end three times for their memory.
func playSlowStores(w *world) (broken bool) {
	s := startStores(w, func(response http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, readBufferLen)
		for {
			_, err := io.ReadFull(r.Body, buffer)
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && r.Context().Err() == nil {
				break
			}
			if err != nil {
				return
			}
			if w.trouble {
				time.Sleep(readTime / readPieces)
			}
		}
		answerWith(response, []byte("stored"))
	})
	s.upload(busyRate, false)
	return s.ended()
}
