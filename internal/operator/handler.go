package operator

import (
	"context"
	"errors"
	"net/http"

	ht "github.com/ogen-go/ogen/http"
	"github.com/ogen-go/ogen/ogenerrors"

	"sapphirespread.example/internal/api/oas"
)

// maxRequestBytes bounds the body of one request.
const maxRequestBytes = 16 << 20

// NewHandler returns the handler of the whole operator API.
func NewHandler(s System) (http.Handler, error) {
	return serve(&handler{processHandler{process: s}, NewAPI(s)})
}

// NewProcessHandler returns a handler that serves the process operations only and answers not-served to all others.
func NewProcessHandler(p Process) (http.Handler, error) {
	return serve(&processHandler{process: p})
}

func serve(h oas.Handler) (http.Handler, error) {
	server, err := oas.NewServer(h, oas.WithErrorHandler(writeFailure))
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(server, maxRequestBytes), nil
}

// writeFailure answers requests that could not be decoded.
func writeFailure(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	kind := Internal
	switch {
	case errors.Is(err, ht.ErrNotImplemented):
		kind = NotServed
	case errors.As(err, &tooLarge), isDecodeError(err):
		kind = Invalid
	}
	answer := failed(NewFailure(kind, err.Error()))
	body, err := answer.Response.MarshalJSON()
	if err != nil {
		ogenerrors.DefaultErrorHandler(ctx, w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.StatusCode)
	w.Write(body)
}

func isDecodeError(err error) bool {
	var request *ogenerrors.DecodeRequestError
	var params *ogenerrors.DecodeParamsError
	return errors.As(err, &request) || errors.As(err, &params)
}

// handler serves all operations.
type handler struct {
	processHandler
	api API
}
