package standin

import "time"

// job is a unit of work that is done when the virtual time of the Processor reaches finish.
type job struct {
	id     uint64
	finish time.Duration
}

// jobQueue is a heap.Interface with the earliest job to finish first.
type jobQueue []job

func (q jobQueue) Len() int           { return len(q) }
func (q jobQueue) Less(i, j int) bool { return q[i].finish < q[j].finish }
func (q jobQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

func (q *jobQueue) Push(x any) { *q = append(*q, x.(job)) }

func (q *jobQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
