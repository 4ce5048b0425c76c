package store

import "time"

// A request asks the event loop to append an entry. Its response is sent once the entry is applied or has failed.
type request struct {
	appendEntry func(now time.Time) (index, term uint64, err error)
	response    chan response
}

type response struct {
	result []byte
	err    error
}

func newRequest(appendEntry func(now time.Time) (index, term uint64, err error)) *request {
	return &request{appendEntry: appendEntry, response: make(chan response, 1)}
}

func (r *request) complete(result []byte, err error) {
	r.response <- response{result: result, err: err}
}
