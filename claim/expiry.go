package claim

// expiry is a heap of the entries that carry a time, the first to expire on top.
type expiry []*entry

func (x expiry) Len() int { return len(x) }

func (x expiry) Less(i, j int) bool {
	if x[i].expiresAt != x[j].expiresAt {
		return x[i].expiresAt < x[j].expiresAt
	}
	return x[i].sequence < x[j].sequence
}

func (x expiry) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *expiry) Push(value any) { *x = append(*x, value.(*entry)) }

// Pop implements heap.Interface.
func (x *expiry) Pop() any {
	last := len(*x) - 1
	popped := (*x)[last]
	(*x)[last] = nil
	*x = (*x)[:last]
	return popped
}
