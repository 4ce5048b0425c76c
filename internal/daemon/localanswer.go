package daemon

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// answer returns the backend server's answer. It buffers an answer of up to maxBufferedBodyBytes first, and awaits the
// beginning of the body of another, so that the request can be retried if the answer is cut short before.
func (r *localRun) answer(ctx context.Context, response *http.Response) (*answer, *attemptError) {
	if response.StatusCode < http.StatusInternalServerError {
		r.daemon.downstream.recordSuccess(r.call)
	}
	r.serverError = response.StatusCode >= http.StatusInternalServerError
	header := r.daemon.dialect.Answer(response.Header)
	unbuffered := response.ContentLength < 0 || response.ContentLength > maxBufferedBodyBytes || len(response.Trailer) > 0
	if unbuffered {
		if err := awaitBody(response); err != nil {
			_ = response.Body.Close()
			return nil, r.handleError(ctx, err, true)
		}
	}
	body := &localBody{run: r, response: response, header: header}
	got := &answer{
		status:        response.StatusCode,
		header:        header,
		contentLength: response.ContentLength,
		trailerNames:  trailerNames(response.Trailer),
		body:          body,
	}
	if unbuffered {
		return got, nil
	}
	content := make([]byte, bodyBytes(response))
	if _, err := io.ReadFull(response.Body, content); err != nil {
		_ = response.Body.Close()
		return nil, r.handleError(ctx, fmt.Errorf("reading the answer: %w", err), true)
	}
	if r.claim != nil {
		r.claim.appendBody(content)
	}
	_, _ = response.Body.Read(nil)
	body.end(true)
	_ = response.Body.Close()
	got.body = storedBody{bytes.NewReader(content)}
	return got, nil
}

// bodyBytes returns the length of the body of a response of declared length. The answer to a HEAD request declares the
// length of a body that it doesn't have.
func bodyBytes(response *http.Response) int64 {
	if response.Request.Method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

// awaitBody waits until the body of response has begun or ended.
func awaitBody(response *http.Response) error {
	reader := bufio.NewReader(response.Body)
	response.Body = &readCloser{reader, response.Body}
	if _, err := reader.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// A readCloser reads through a buffer and closes what is behind it.
type readCloser struct {
	io.Reader
	io.Closer
}
