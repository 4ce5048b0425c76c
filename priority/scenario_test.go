package priority_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/priority"
)

// TestScenarios simulates the scenarios in testdata. A flow line reads "workspace priority share rate
// deadline", a phase line "phase from to demand service [workspace]". "workers at n" and "announce at n"
// change the number of workers and of announced slots, and "expect name value" states a bound. The output
// lists the bounds that are missed.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := readScenario(t, d)
			return s.compare(s.backend.run(s.flows, s.duration))
		})
	})
}

const allExpectationsMet = "as stated\n"

type scenario struct {
	backend  *fakeBackend
	flows    []flow
	duration time.Duration
	workers  int
	expected map[string]float64
	verbose  bool
}

func readScenario(t *testing.T, d *datadriven.TestData) *scenario {
	s := &scenario{expected: make(map[string]float64), duration: 10 * time.Second}
	var seed uint64
	var slots int
	var service, cold string
	s.backend = &fakeBackend{}
	d.ScanArgs(t, "seed", &seed)
	d.ScanArgs(t, "slots", &slots)
	d.ScanArgs(t, "workers", &s.backend.workers)
	d.ScanArgs(t, "service", &service)
	d.MaybeScanArgs(t, "cold", &cold)
	s.backend.exponential = d.HasArg("varied")
	s.verbose = d.HasArg("verbose")
	s.workers = s.backend.workers
	s.backend.service = parseDuration(t, service)
	if cold != "" {
		s.backend.warmUp = parseDuration(t, cold)
	}
	s.backend.random = rand.New(rand.NewPCG(seed, seed))
	s.backend.admission = priority.NewAdmission(priority.WithSlots(slots))
	for line := range strings.Lines(d.Input) {
		s.readLine(t, strings.Fields(line))
	}
	return s
}

func (s *scenario) readLine(t *testing.T, fields []string) {
	var err error
	switch fields[0] {
	case "phase":
		p := phase{from: parseDuration(t, fields[1]), to: parseDuration(t, fields[2])}
		_, err = fmt.Sscan(fields[3]+" "+fields[4], &p.demand, &p.service)
		if len(fields) > 5 {
			p.workspace = fields[5]
		}
		s.backend.phases = append(s.backend.phases, p)
	case "workers", "announce":
		st := step{at: parseDuration(t, fields[1])}
		n := &st.workers
		if fields[0] == "announce" {
			n = &st.slots
		}
		_, err = fmt.Sscan(fields[2], n)
		s.backend.steps = append(s.backend.steps, st)
	case "expect":
		var value float64
		_, err = fmt.Sscan(fields[2], &value)
		s.expected[fields[1]] = value
	default:
		f := flow{workspace: fields[0], deadline: parseDuration(t, fields[4])}
		_, err = fmt.Sscan(strings.Join(fields[1:4], " "), &f.priority, &f.share, &f.rate)
		s.flows = append(s.flows, f)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// compare returns the missed bounds. Recovery is measured after the last phase, the limit over the whole run
// and the others within the first phase.
func (s *scenario) compare(r result) string {
	measured := map[string]float64{
		"goodput": s.goodput(r), "recovery": s.recovery(r), "worst": s.worstShare(r), "important": s.importantShare(r),
		"top-limit": float64(r.maximumLimit),
	}
	var missed strings.Builder
	for _, name := range []string{"goodput", "important", "worst", "recovery", "top-limit"} {
		want, stated := s.expected[name]
		got := measured[name]
		atMost := name == "recovery" || name == "top-limit"
		if s.verbose || stated && (atMost && got > want || !atMost && got < want) {
			fmt.Fprintf(&missed, "%s %.3f, want %.3f\n", name, got, want)
		}
	}
	if missed.Len() == 0 {
		return allExpectationsMet
	}
	return missed.String()
}

// measuredBuckets returns the range of time buckets of the first phase, without its first second.
func (s *scenario) measuredBuckets() (from, to int) {
	p := s.backend.phases[0]
	return int((p.from + time.Second) / bucketLength), int(p.to / bucketLength)
}

func sumCounts(counts [][]int, from, to int, include func(flow int) bool) (n float64) {
	for i := range counts {
		if include(i) {
			for _, c := range counts[i][from:to] {
				n += float64(c)
			}
		}
	}
	return n
}

func anyFlow(int) bool { return true }

// capacity returns how many requests the workers can finish in the measured buckets.
func (s *scenario) capacity() float64 {
	from, to := s.measuredBuckets()
	service := s.backend.service.Seconds()
	if p := s.backend.phases[0]; p.service > 0 {
		service *= p.service
	}
	workers := s.workers
	for _, st := range s.backend.steps {
		if st.workers > 0 && st.at <= s.backend.phases[0].from {
			workers = st.workers
		}
	}
	return float64(workers) / service * float64(to-from) * bucketLength.Seconds()
}

func (s *scenario) goodput(r result) float64 {
	from, to := s.measuredBuckets()
	return sumCounts(r.inTime, from, to, anyFlow) / math.Min(s.capacity(), sumCounts(r.offered, from, to, anyFlow))
}

// importantShare returns the share of requests of priority 0 that are answered in time.
func (s *scenario) importantShare(r result) float64 {
	from, to := s.measuredBuckets()
	mostImportant := func(i int) bool { return s.flows[i].priority == 0 }
	return sumCounts(r.inTime, from, to, mostImportant) / sumCounts(r.offered, from, to, mostImportant)
}

// worstShare returns the lowest share that a workspace gets of its fair share, or of its demand if that is
// smaller. All flows must have the same priority.
func (s *scenario) worstShare(r result) float64 {
	from, to := s.measuredBuckets()
	shares := 0.0
	for _, f := range s.flows {
		shares += f.share
	}
	worst := math.Inf(1)
	for i, f := range s.flows {
		only := func(other int) bool { return other == i }
		fair := math.Min(s.capacity()*f.share/shares, sumCounts(r.offered, from, to, only))
		worst = math.Min(worst, sumCounts(r.inTime, from, to, only)/fair)
	}
	return worst
}

// recovery returns the seconds from the end of the last phase until the goodput over half a second reaches
// 95% of the offered requests.
func (s *scenario) recovery(r result) float64 {
	const half = 5
	end := int(s.backend.phases[len(s.backend.phases)-1].to / bucketLength)
	for i := end; i+half <= int(s.duration/bucketLength); i++ {
		if sumCounts(r.inTime, i, i+half, anyFlow) >= 0.95*sumCounts(r.offered, i, i+half, anyFlow) {
			return float64(i-end) * bucketLength.Seconds()
		}
	}
	return math.Inf(1)
}
