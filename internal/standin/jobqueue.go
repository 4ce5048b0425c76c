package standin

import "time"

type job struct {
	id  uint64
	end time.Duration
}

type jobQueue []job

func (q jobQueue) Len() int           { return len(q) }
func (q jobQueue) Less(i, j int) bool { return q[i].end < q[j].end }
func (q jobQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

func (q *jobQueue) Push(x any) { *q = append(*q, x.(job)) }

func (q *jobQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}
