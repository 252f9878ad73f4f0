package berylscheduler_test

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the heap of a scheduler without tasks and with a nearly
// full cluster. docs/CAPACITY.md derives the bytes for each worker, gang and task
// from these figures.
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
				before := heapBytes()
				c := newLoadedCluster(size.workers, size.tasks)
				held := heapBytes() - before
				b.ReportMetric(float64(held), "heap-B")
				b.ReportMetric(float64(len(c.running)), "gangs")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
