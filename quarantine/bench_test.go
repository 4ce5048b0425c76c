package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"sapphirespread.example/quarantine"
)

func newFingerprints(n int) []quarantine.Fingerprint {
	fps := make([]quarantine.Fingerprint, n)
	for i := range fps {
		fps[i] = quarantine.NewFingerprint(binary.BigEndian.AppendUint64(nil, uint64(i)))
	}
	return fps
}

// BenchmarkRun measures the cost per call: a verdict, a start and an end.
func BenchmarkRun(b *testing.B) {
	list, watch, fps := quarantine.NewList(), quarantine.NewInFlight(), newFingerprints(1024)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			fp := fps[i%len(fps)]
			if list.State(start, fp) == quarantine.Clear {
				watch.End(watch.Start(fp))
			}
		}
	})
}

// BenchmarkHeld reports the memory of a register and a list by the number of their fingerprints.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fps := newFingerprints(n)
			var before, between, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			register := quarantine.NewRegister()
			for b.Loop() {
				register = quarantine.NewRegister()
				register.RecordCrash(start, "crash", "target", fps)
			}
			runtime.GC()
			runtime.ReadMemStats(&between)
			list := quarantine.NewList()
			entries, _, to, _ := register.Delta(0)
			list.Apply(to, true, entries, nil)
			entries = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(between.HeapAlloc-before.HeapAlloc), "register-bytes")
			b.ReportMetric(float64(after.HeapAlloc-between.HeapAlloc), "list-bytes")
			runtime.KeepAlive(list)
			runtime.KeepAlive(register)
		})
	}
}
