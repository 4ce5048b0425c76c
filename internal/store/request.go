package store

import "time"

// A request is appended by the loop and answered once it is applied or can't be.
type request struct {
	extend func(now time.Time) (index, term uint64, err error)
	answer chan answer
}

type answer struct {
	result []byte
	err    error
}

func newRequest(extend func(now time.Time) (index, term uint64, err error)) *request {
	return &request{extend: extend, answer: make(chan answer, 1)}
}

func (r *request) finish(result []byte, err error) {
	r.answer <- answer{result: result, err: err}
}
