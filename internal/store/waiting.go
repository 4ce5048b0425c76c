package store

// waiting holds the requests whose entries are not applied yet, by index.
type waiting map[uint64]waitingRequest

type waitingRequest struct {
	term    uint64
	request *request
}

func (w waiting) add(index, term uint64, r *request) {
	w[index] = waitingRequest{term: term, request: r}
}

// applied answers the request of an index; another term there means that its entry was overwritten.
func (w waiting) applied(index, term uint64, result []byte) {
	one, ok := w[index]
	if !ok {
		return
	}
	delete(w, index)
	if one.term == term {
		one.request.finish(result, nil)
	} else {
		one.request.finish(nil, ErrNotLeader)
	}
}

func (w waiting) failAll(err error) {
	for index, one := range w {
		delete(w, index)
		one.request.finish(nil, err)
	}
}
