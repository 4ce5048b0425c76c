// Package pipeline serves HTTP/1.1 to callers that send further requests before the first one is answered.
//
// Requests that may run side by side are passed on as they arrive, up to a bound, and their answers are sent in the order
// of the requests. The server of net/http reads the next request only after an answer, so that one slow request makes all
// requests behind it late.
package pipeline
