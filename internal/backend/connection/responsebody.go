package connection

import (
	"errors"
	"io"
	"net/http"
)

// A body is the body of an answer; the end of it ends the exchange.
type body struct {
	io.ReadCloser
	link     *link
	response *http.Response
	release  func() bool
	written  *writing
	ended    bool
}

// Read returns io.EOF only where the answer is whole as far as its framing tells.
func (b *body) Read(buffer []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.end(true)
	} else if err != nil {
		b.end(false)
	}
	return n, err
}

// Close breaks the exchange off where the body was not read to its end.
func (b *body) Close() error {
	b.end(false)
	return nil
}

func (b *body) end(whole bool) {
	if b.ended {
		return
	}
	b.ended = true
	if b.release() && whole {
		b.link.finish(b.response, b.written)
		return
	}
	b.link.close()
}
