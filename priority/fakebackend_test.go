package priority_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"sapphirespread.example/priority"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	upstreamDelay = 3 * time.Millisecond // until the sender receives a level
	bucketLength  = 100 * time.Millisecond
)

// flow is a stream of similar requests from one workspace.
type flow struct {
	workspace string
	priority  int
	share     float64
	rate      float64 // requests per second
	deadline  time.Duration
}

// phase multiplies the demand and the service time during an interval.
type phase struct {
	from, to        time.Duration
	demand, service float64
	workspace       string // if set, only the demand of this workspace changes
}

// step changes the number of workers or of announced slots at one time.
type step struct {
	at             time.Duration
	workers, slots int
}

// fakeBackend simulates a backend server with a configurable number of workers and a FIFO queue, behind an
// Admission.
type fakeBackend struct {
	admission   *priority.Admission
	random      *rand.Rand
	workers     int
	service     time.Duration
	warmUp      time.Duration // time to full speed after a cold start
	exponential bool          // exponentially distributed service times
	steps       []step
	phases      []phase
	events      eventHeap
	now         time.Duration
	sequence    uint64
	busy        int
	admitted    []uint64 // admitted requests that wait for a worker
	requests    map[uint64]*request
	activeLevel priority.Level
	result      result
}

type request struct {
	flow       int
	sentAt     time.Duration
	deadline   time.Duration
	admittedAt time.Duration
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

// result counts requests by flow and time bucket.
type result struct {
	offered, inTime [][]int
	maximumLimit    int
	minimumLimit    int
}

func (b *fakeBackend) schedule(d time.Duration, run func()) {
	b.sequence++
	heap.Push(&b.events, event{b.now + d, b.sequence, run})
}

func (b *fakeBackend) run(flows []flow, duration time.Duration) result {
	buckets := int(duration/bucketLength) + 1
	b.requests = make(map[uint64]*request)
	for range flows {
		b.result.offered = append(b.result.offered, make([]int, buckets))
		b.result.inTime = append(b.result.inTime, make([]int, buckets))
	}
	b.result.minimumLimit = 1 << 30
	for i := range flows {
		b.scheduleArrival(i, flows[i])
	}
	for _, st := range b.steps {
		b.schedule(st.at, func() { b.applyVerdicts(b.applyStep(st)) })
	}
	b.tick()
	for len(b.events) > 0 && b.events[0].at < duration {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.run()
	}
	return b.result
}

func (b *fakeBackend) applyStep(st step) []priority.Verdict {
	if st.workers > 0 {
		b.workers = st.workers
	}
	if st.slots > 0 {
		b.admission.Announce(start.Add(b.now), st.slots)
	}
	return nil
}

func (b *fakeBackend) scheduleArrival(i int, f flow) {
	rate := f.rate
	for _, p := range b.phases {
		if b.now >= p.from && b.now < p.to && p.demand > 0 && (p.workspace == "" || p.workspace == f.workspace) {
			rate *= p.demand
		}
	}
	b.schedule(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), func() {
		b.offer(i, f)
		b.scheduleArrival(i, f)
	})
}

func (b *fakeBackend) offer(i int, f flow) {
	b.result.offered[i][b.now/bucketLength]++
	hash := b.random.Uint64()
	shed := b.activeLevel.ShareAt(start.Add(b.now), priority.Origin{Priority: f.priority, Workspace: f.workspace})
	if (priority.Origin{RootHash: hash}).ShedBy(shed) {
		return
	}
	b.sequence++
	id := b.sequence
	b.requests[id] = &request{flow: i, sentAt: b.now, deadline: b.now + f.deadline}
	b.applyVerdicts(b.admission.Offer(start.Add(b.now), priority.Request{
		ID: id, RootHash: hash, Priority: f.priority, Workspace: f.workspace, Share: f.share,
		Deadline: start.Add(b.now + f.deadline), Shed: shed,
	}))
}

// applyVerdicts applies verdicts to the requests. With each refusal, the current level is sent to the
// sender.
func (b *fakeBackend) applyVerdicts(verdicts []priority.Verdict) {
	for _, v := range verdicts {
		if !v.Admitted {
			delete(b.requests, v.ID)
			b.sendLevel()
			continue
		}
		b.requests[v.ID].admittedAt = b.now
		b.admitted = append(b.admitted, v.ID)
	}
	b.startRuns()
}

func (b *fakeBackend) startRuns() {
	for b.busy < b.workers && len(b.admitted) > 0 {
		id := b.admitted[0]
		b.admitted = b.admitted[1:]
		b.busy++
		b.schedule(b.serviceTime(), func() { b.finishRun(id) })
	}
}

func (b *fakeBackend) serviceTime() time.Duration {
	mean := float64(b.service)
	for _, p := range b.phases {
		if b.now >= p.from && b.now < p.to && p.service > 0 {
			mean *= p.service
		}
	}
	if b.warmUp > b.now {
		mean *= 1 + 9*(1-float64(b.now)/float64(b.warmUp))
	}
	if b.exponential {
		return time.Duration(mean * b.random.ExpFloat64())
	}
	return time.Duration(mean * (0.5 + b.random.Float64()))
}

func (b *fakeBackend) finishRun(id uint64) {
	r := b.requests[id]
	delete(b.requests, id)
	b.busy--
	if b.now <= r.deadline {
		b.result.inTime[r.flow][b.now/bucketLength]++
	}
	limit := b.admission.Stats(start.Add(b.now)).Limit
	b.result.maximumLimit = max(b.result.maximumLimit, limit)
	b.result.minimumLimit = min(b.result.minimumLimit, limit)
	b.applyVerdicts(b.admission.Done(start.Add(b.now), id, priority.Result{Latency: b.now - r.admittedAt}))
	b.sendLevel()
}

func (b *fakeBackend) sendLevel() {
	level := b.admission.Level(start.Add(b.now))
	b.schedule(upstreamDelay, func() { b.activeLevel = level })
}

func (b *fakeBackend) tick() {
	b.applyVerdicts(b.admission.Tick(start.Add(b.now)))
	b.schedule(10*time.Millisecond, b.tick)
}
