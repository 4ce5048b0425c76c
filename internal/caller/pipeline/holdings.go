package pipeline

import (
	"errors"
	"net/http"
	"time"

	"sapphirespread.example/internal/host/budget"
)

const (
	// exchangeBytes is the memory that an unanswered request takes without its head and its body.
	exchangeBytes = 8 << 10
	// headByteBytes is the memory that a byte of a head takes: as read, and in the request.
	headByteBytes = 2
	// headFieldBytes is the memory that a field of a head takes in the request and in the copy that is passed on.
	headFieldBytes = 256
	// defaultMaxBodyBytes is the part of a body that is taken to be in memory.
	defaultMaxBodyBytes = 64 << 10
)

var errNoRoom = errors.New("the budget has no room for the head of the request")

// holdings is what a request holds of the budget of its connection.
type holdings struct {
	holder  *budget.Holder
	head    int64
	body    int64
	answers int64
}

// takeHead takes the memory for a part of the head.
func (h *holdings) takeHead(bytes, fields int) bool {
	return h.take(budget.Heads, int64(bytes)*headByteBytes+int64(fields)*headFieldBytes, &h.head)
}

// takeRequest takes the memory for a request and its body. A body of unknown length is taken to be as long as may be held.
func (h *holdings) takeRequest(request *http.Request, maxBodyBytes int64) bool {
	length := request.ContentLength
	if length < 0 || length > maxBodyBytes {
		length = maxBodyBytes
	}
	return h.take(budget.Heads, exchangeBytes, &h.head) && (length == 0 || h.take(budget.Bodies, length, &h.body))
}

// takeAnswer takes the memory for a part of an answer that has to wait.
func (h *holdings) takeAnswer(bytes int) bool {
	return h.take(budget.Answers, int64(bytes), &h.answers)
}

func (h *holdings) take(kind budget.Kind, bytes int64, total *int64) bool {
	if !h.holder.Take(time.Now(), kind, bytes) {
		return false
	}
	*total += bytes
	return true
}

// end returns everything.
func (h *holdings) end() {
	h.holder.Return(budget.Heads, h.head)
	h.holder.Return(budget.Bodies, h.body)
	h.holder.Return(budget.Answers, h.answers)
	h.head, h.body, h.answers = 0, 0, 0
}
