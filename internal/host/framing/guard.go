package framing

import "net/http"

// Guard returns a handler that closes the connection after each request with a chunked body. Such a request may also have
// carried a Content-Length, which net/http removes unseen. An intermediary that went by that length would take the bytes
// behind the request for another one than this server does (RFC 9112, section 6.3).
func Guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
