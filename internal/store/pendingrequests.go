package store

// pendingRequests holds the requests whose entries are not yet applied, by log index.
type pendingRequests map[uint64]pendingRequest

type pendingRequest struct {
	term    uint64
	request *request
}

func (p pendingRequests) add(index, term uint64, r *request) {
	p[index] = pendingRequest{term: term, request: r}
}

// resolve completes the request at the applied index. If the applied entry has another term, the entry of the request
// was overwritten and the request fails with ErrNotLeader.
func (p pendingRequests) resolve(index, term uint64, result []byte) {
	pending, ok := p[index]
	if !ok {
		return
	}
	delete(p, index)
	if pending.term == term {
		pending.request.complete(result, nil)
	} else {
		pending.request.complete(nil, ErrNotLeader)
	}
}

func (p pendingRequests) failAll(err error) {
	for index, pending := range p {
		delete(p, index)
		pending.request.complete(nil, err)
	}
}
