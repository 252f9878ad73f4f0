package berylscheduler_test

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the heap that a scheduler holds with no tasks and
// with a nearly full cluster, from which docs/CAPACITY.md takes the bytes for
// each worker, gang and task.
func BenchmarkMemory(b *testing.B) {
	sizes := []struct{ workers, tasks int }{
		{workers: 100},
		{workers: 1000},
		{workers: 11000},
		{workers: 100, tasks: 2000},
		{workers: 1000, tasks: 19000},
		{workers: 11000, tasks: 210000},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			for range b.N {
				before := heap()
				c := newCrowd(size.workers, size.tasks)
				held := heap() - before
				b.ReportMetric(float64(held), "heap-B")
				b.ReportMetric(float64(len(c.running)), "gangs")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
