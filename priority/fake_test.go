package priority_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"sapphirespread.example/priority"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	upstreamDelay = 3 * time.Millisecond // until a level reaches the sender
	bucketLength  = 100 * time.Millisecond
)

// flow is one stream of requests.
type flow struct {
	workspace string
	priority  int
	share     float64
	rate      float64 // requests a second
	deadline  time.Duration
}

// phase multiplies demand and service time for a while.
type phase struct {
	from, to        time.Duration
	demand, service float64
	workspace       string // only its demand, where set
}

// step changes the workers, or the slots that are announced, at one time.
type step struct {
	at             time.Duration
	workers, slots int
}

// backend is a fake backend server with workers of its own and a first-come queue, behind an admission.
type backend struct {
	admission *priority.Admission
	random    *rand.Rand
	workers   int
	service   time.Duration
	cold      time.Duration // time to full speed
	varied    bool          // exponential service times
	steps     []step
	phases    []phase
	events    eventHeap
	now       time.Duration
	sequence  uint64
	busy      int
	inside    []uint64 // admitted, waiting for a worker
	requests  map[uint64]*request
	heeded    priority.Level
	result    result
}

type request struct {
	flow     int
	at       time.Duration
	deadline time.Duration
	admitted time.Duration
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// result counts requests by flow and by bucket of time.
type result struct {
	offered, good [][]int
	maximumLimit  int
	minimumLimit  int
}

func (b *backend) at(d time.Duration, run func()) {
	b.sequence++
	heap.Push(&b.events, event{b.now + d, b.sequence, run})
}

func (b *backend) run(flows []flow, duration time.Duration) result {
	buckets := int(duration/bucketLength) + 1
	b.requests = make(map[uint64]*request)
	for range flows {
		b.result.offered = append(b.result.offered, make([]int, buckets))
		b.result.good = append(b.result.good, make([]int, buckets))
	}
	b.result.minimumLimit = 1 << 30
	for i := range flows {
		b.arrive(i, flows[i])
	}
	for _, st := range b.steps {
		b.at(st.at, func() { b.take(b.step(st)) })
	}
	b.tick()
	for len(b.events) > 0 && b.events[0].at < duration {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.run()
	}
	return b.result
}

func (b *backend) step(st step) []priority.Verdict {
	if st.workers > 0 {
		b.workers = st.workers
	}
	if st.slots > 0 {
		b.admission.Announce(start.Add(b.now), st.slots)
	}
	return nil
}

func (b *backend) arrive(i int, f flow) {
	rate := f.rate
	for _, p := range b.phases {
		if b.now >= p.from && b.now < p.to && p.demand > 0 && (p.workspace == "" || p.workspace == f.workspace) {
			rate *= p.demand
		}
	}
	b.at(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), func() {
		b.offer(i, f)
		b.arrive(i, f)
	})
}

func (b *backend) offer(i int, f flow) {
	b.result.offered[i][b.now/bucketLength]++
	hash := b.random.Uint64()
	shed := b.heeded.ShareAt(start.Add(b.now), priority.Origin{Priority: f.priority, Workspace: f.workspace})
	if (priority.Origin{WholeHash: hash}).ShedBy(shed) {
		return
	}
	b.sequence++
	id := b.sequence
	b.requests[id] = &request{flow: i, at: b.now, deadline: b.now + f.deadline}
	b.take(b.admission.Offer(start.Add(b.now), priority.Request{
		ID: id, WholeHash: hash, Priority: f.priority, Workspace: f.workspace, Share: f.share,
		Deadline: start.Add(b.now + f.deadline), Shed: shed,
	}))
}

// take acts on verdicts; a refusal carries the level to the sender.
func (b *backend) take(verdicts []priority.Verdict) {
	for _, v := range verdicts {
		if !v.Admitted {
			delete(b.requests, v.ID)
			b.answer()
			continue
		}
		b.requests[v.ID].admitted = b.now
		b.inside = append(b.inside, v.ID)
	}
	b.work()
}

func (b *backend) work() {
	for b.busy < b.workers && len(b.inside) > 0 {
		id := b.inside[0]
		b.inside = b.inside[1:]
		b.busy++
		b.at(b.serviceTime(), func() { b.finish(id) })
	}
}

func (b *backend) serviceTime() time.Duration {
	mean := float64(b.service)
	for _, p := range b.phases {
		if b.now >= p.from && b.now < p.to && p.service > 0 {
			mean *= p.service
		}
	}
	if b.cold > b.now {
		mean *= 1 + 9*(1-float64(b.now)/float64(b.cold))
	}
	if b.varied {
		return time.Duration(mean * b.random.ExpFloat64())
	}
	return time.Duration(mean * (0.5 + b.random.Float64()))
}

func (b *backend) finish(id uint64) {
	r := b.requests[id]
	delete(b.requests, id)
	b.busy--
	if b.now <= r.deadline {
		b.result.good[r.flow][b.now/bucketLength]++
	}
	limit := b.admission.Stats(start.Add(b.now)).Limit
	b.result.maximumLimit = max(b.result.maximumLimit, limit)
	b.result.minimumLimit = min(b.result.minimumLimit, limit)
	b.take(b.admission.Done(start.Add(b.now), id, priority.Result{Latency: b.now - r.admitted}))
	b.answer()
}

func (b *backend) answer() {
	level := b.admission.Level(start.Add(b.now))
	b.at(upstreamDelay, func() { b.heeded = level })
}

func (b *backend) tick() {
	b.take(b.admission.Tick(start.Add(b.now)))
	b.at(10*time.Millisecond, b.tick)
}
