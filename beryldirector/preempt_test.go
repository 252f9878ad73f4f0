package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

// The leader is lost between the record of the stops for an urgent gang and its start.
// Guards against a successor that stops further runs for the gang, or that starts it before
// the runs have ended, although pauses and learned arrivals are lost with the leader.
func TestLeaderLostDuringPreemption(t *testing.T) {
	h := newHarness(t)
	var topic berylbook.Book
	h.copyTo = &topic
	h.report("n1", nil)
	routine := step(8, 1)
	routine.Estimate = 10_000
	h.submit("j1", "routine", routine)
	list := func(r *berylreport.Report) {
		for i := range 8 {
			r.Runs = append(r.Runs, berylreport.Run{Key: berylreport.Key{Task: "j1.0.0." + strconv.Itoa(i), Run: 1}, Progress: 10})
		}
	}
	h.report("n1", list)
	urgent := gang(2, 2)
	urgent.Estimate = 3000
	h.submit("j2", "urgent", urgent)
	h.advance(200 * time.Millisecond)
	stopping := func() (n int) {
		for i := range 8 {
			if h.phase("j1", i) == berylbook.Stopping {
				n++
			}
		}
		return n
	}
	h.is.Equal(stopping(), 4)

	h.d = New(Self{Node: "entry-2", Boot: 1, Addr: "10.0.0.8:7000"}, testLimits())
	h.d.Policy = testPolicy()
	h.d.Restore(h.now, topic, h.topicEnd)
	h.copyTo = nil
	h.advance(3 * time.Second)
	h.is.True(h.d.Leading())
	h.report("n1", list)
	h.advance(100 * time.Millisecond)
	h.is.Equal(stopping(), 4)
	h.is.Equal(h.phase("j2", 0), berylbook.Idle)

	h.report("n1", func(r *berylreport.Report) {
		for i := range 8 {
			k := berylreport.Key{Task: "j1.0.0." + strconv.Itoa(i), Run: 1}
			if h.phase("j1", i) == berylbook.Stopping {
				r.Ends = append(r.Ends, end(int64(len(r.Ends)+1), k.Task, 1, berylreport.Stopped))
			} else {
				r.Runs = append(r.Runs, berylreport.Run{Key: k, Progress: 20})
			}
		}
	})
	h.is.Equal(h.phase("j2", 0), berylbook.Ordered)
	h.is.Equal(h.phase("j2", 1), berylbook.Ordered)
}

// An urgent job that is late anyway needs all of the only server, and a routine run that
// takes far longer than declared uses a quarter of it. Guards against a reservation that
// keeps the rest idle until that run ends, while other jobs wait.
func TestLateJobKeepsNoServerIdle(t *testing.T) {
	h := newHarness(t)
	h.report("n1", nil)
	slow := step(1, 2)
	slow.Estimate = 4000
	h.submit("slow", "routine", slow)
	list := func(progress float64) {
		h.report("n1", func(r *berylreport.Report) {
			r.Runs = []berylreport.Run{{Key: berylreport.Key{Task: "slow.0.0.0", Run: 1}, Progress: progress}}
		})
	}
	list(90)
	urgent := gang(1, 8)
	urgent.Estimate = 1000
	h.submit("late", "urgent", urgent)
	for i := range 30 {
		list(90 + float64(i)/10)
		h.advance(100 * time.Millisecond)
	}
	h.is.Equal(h.phase("slow", 0), berylbook.Stopping)
}
