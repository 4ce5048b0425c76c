package connection

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// A responseBody is the body of a response. When it is read to its end or closed, its connection is reused or closed.
type responseBody struct {
	io.ReadCloser
	conn     *persistentConn
	response *http.Response
	stop     func() bool
	write    *requestWrite
	finished bool
}

// Read returns io.EOF only if the response is complete according to its framing.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if b.finished {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && endsWithConnection(b.response) {
		if broken := b.conn.sender.breakBeforeEnd(); broken != nil {
			err = fmt.Errorf("reading an answer that ends with its connection: %w", broken)
		}
	}
	if errors.Is(err, io.EOF) {
		b.finish(true)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

// Close closes the connection if the body was not read to its end.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	if b.stop() && complete {
		b.conn.keepOrClose(b.response, b.write)
		return
	}
	b.conn.close()
}

// endsWithConnection reports whether the end of the connection is the only sign of the end of the body.
func endsWithConnection(response *http.Response) bool {
	return response.Close && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
