package operator

import (
	"context"
	"errors"
	"net/http"

	ht "github.com/ogen-go/ogen/http"
	"github.com/ogen-go/ogen/ogenerrors"

	"sapphirespread.example/internal/api/oas"
)

// MaxRequestBytes limits the body of a request.
const MaxRequestBytes = 16 << 20

// NewHandler returns an HTTP handler for the whole operator API.
func NewHandler(s System) (http.Handler, error) {
	return newHTTPHandler(&handler{processHandler{process: s}, NewAPI(s)})
}

// NewProcessHandler returns an HTTP handler for the process operations, which responds to all others with NotServed.
func NewProcessHandler(p Process) (http.Handler, error) {
	return newHTTPHandler(&processHandler{process: p})
}

func newHTTPHandler(h oas.Handler) (http.Handler, error) {
	server, err := oas.NewServer(h, oas.WithErrorHandler(writeFailure))
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(server, MaxRequestBytes), nil
}

// writeFailure responds to requests that are malformed, too large or not served.
func writeFailure(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	kind := Internal
	switch {
	case errors.Is(err, ht.ErrNotImplemented):
		kind = NotServed
	case errors.As(err, &tooLarge), isDecodeError(err):
		kind = Invalid
	}
	failure := encodeFailure(NewFailure(kind, err.Error()))
	body, err := failure.Response.MarshalJSON()
	if err != nil {
		ogenerrors.DefaultErrorHandler(ctx, w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(failure.StatusCode)
	w.Write(body)
}

func isDecodeError(err error) bool {
	var request *ogenerrors.DecodeRequestError
	var params *ogenerrors.DecodeParamsError
	return errors.As(err, &request) || errors.As(err, &params)
}

// handler implements all operations of the API.
type handler struct {
	processHandler
	api API
}
