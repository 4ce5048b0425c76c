package daemon

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"sapphirespread.example/configuration"
	"sapphirespread.example/refusal"
)

// headerFieldOverhead is the length of the colon and the line end of a header field. The blank between them is optional.
const headerFieldOverhead = 3

var errBodyTooLarge = errors.New("the body is longer than the route allows")

// checkSize refuses a request whose header, or whose body by its declared length, is longer than the route allows.
func checkSize(r *http.Request, matched configuration.Route) *attemptError {
	if limit := matched.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return refuse(refusal.BodyTooLarge, fmt.Sprintf("%d bytes", r.ContentLength))
	}
	if limit := matched.MaxHeaderBytes; limit > 0 && headerBytes(r.Header) > limit {
		return refuse(refusal.HeaderTooLarge, fmt.Sprintf("%d bytes", headerBytes(r.Header)))
	}
	return nil
}

// headerBytes returns the smallest size in which the header fields can have been sent.
func headerBytes(header http.Header) int64 {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + headerFieldOverhead
		}
	}
	return int64(total)
}

// A limitedBody is a body of unknown length that fails once it is longer than the route allows.
type limitedBody struct {
	io.ReadCloser
	left     int64
	exceeded atomic.Bool
}

// Read fails with errBodyTooLarge and passes on nothing beyond the limit.
func (b *limitedBody) Read(buffer []byte) (int, error) {
	if b.exceeded.Load() {
		return 0, errBodyTooLarge
	}
	n, err := b.ReadCloser.Read(buffer)
	if int64(n) > b.left {
		b.exceeded.Store(true)
		return int(b.left), errBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// limitBody limits the body of r and returns it, or nil if the route has no limit or the length is known.
func limitBody(r *http.Request, limit int64) *limitedBody {
	if limit == 0 || r.ContentLength >= 0 {
		return nil
	}
	body := &limitedBody{ReadCloser: r.Body, left: limit}
	r.Body = body
	return body
}

// refused returns the refusal of a request that ended as err. A body that was too long is the reason for whatever came of
// it, but a part of it may have reached a backend server.
func (b *limitedBody) refused(err *attemptError) *attemptError {
	if b == nil || !b.exceeded.Load() {
		return err
	}
	refused := refuse(refusal.BodyTooLarge, "in chunks")
	refused.notRun = err.notRun
	return refused
}
