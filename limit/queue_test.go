package limit_test

import (
	"testing"
	"time"

	"sapphirespread.example/limit"
)

// TestQueueServesTheMostImportantFirst overfills a queue with requests of different ranks, as in a burst over a
// workspace's rate.
func TestQueueServesTheMostImportantFirst(t *testing.T) {
	q := limit.NewQueue(4, limit.WithRank(func(request int) int { return request / 10 }))
	for _, request := range []int{20, 1, 21, 2} {
		q.Push(after(0), request)
	}
	if displaced, full := q.Push(after(time.Millisecond), 3); !full || displaced != 20 {
		t.Errorf("displaced %d, %v, want the oldest of the least important", displaced, full)
	}
	if displaced, full := q.Push(after(time.Millisecond), 40); !full || displaced != 40 {
		t.Errorf("displaced %d, %v, want the new request, which is the least important", displaced, full)
	}
	for _, want := range []int{1, 2, 3, 21} {
		if got, ok := q.Pop(after(time.Millisecond)); !ok || got != want {
			t.Errorf("popped %d, %v, want %d", got, ok, want)
		}
	}
}

func TestQueueServesNewestFirstOnlyInLongOverload(t *testing.T) {
	q := limit.NewQueue[int](3)
	pop := func(at time.Duration, want int) {
		t.Helper()
		if got, ok := q.Pop(after(at)); !ok || got != want {
			t.Fatalf("at %v: popped %d, %v, want %d", at, got, ok, want)
		}
	}
	push := func(at time.Duration, request int) {
		t.Helper()
		if displaced, full := q.Push(after(at), request); full {
			t.Fatalf("at %v: %d displaced", at, displaced)
		}
	}
	push(0, 1)
	push(0, 2)
	push(time.Second, 3)
	if displaced, full := q.Push(after(time.Second), 4); !full || displaced != 1 {
		t.Fatalf("displaced %d, %v, want 1", displaced, full)
	}
	pop(time.Second, 2)
	push(time.Second, 5)
	pop(5900*time.Millisecond, 3)
	push(6*time.Second, 6)
	pop(6*time.Second, 6)
	if q.Remove(6) || !q.Remove(4) || q.Len() != 1 {
		t.Fatal("Remove found the popped request 6, didn't find the waiting request 4, or left a wrong length")
	}
	pop(7*time.Second, 5)
	push(7*time.Second, 7)
	push(7*time.Second, 8)
	pop(7*time.Second, 7)
	pop(20*time.Second, 8)
}
