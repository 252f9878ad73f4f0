package beryldirector

import (
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// BenchmarkReport measures the time that the leader takes for one report, with a
// placement pass every 20 ms, on sites of which all accelerators are in use.
func BenchmarkReport(b *testing.B) {
	tests := []struct{ nodes, jobs, width, perSecond int }{
		{nodes: 67, jobs: 30, width: 30, perSecond: 333},
		{nodes: 240, jobs: 90, width: 60, perSecond: 1000},
	}
	for _, tt := range tests {
		b.Run(strconv.Itoa(tt.nodes), func(b *testing.B) {
			benchmarkReport(b, tt.nodes, tt.jobs, tt.width, time.Second/time.Duration(tt.perSecond))
		})
	}
}

// benchmarkReport passes one report each interval. One in four runs ends with the next
// report of its backend server.
func benchmarkReport(b *testing.B, nodes, jobs, width int, interval time.Duration) {
	const slots = 8
	d := New(Self{Node: "e", Boot: 1}, testLimits())
	d.Policy = testPolicy()
	now := startTime()
	d.Restore(now, berylbook.Book{}, 0)
	claim := berylbook.Claim{Epoch: 1, Node: "e", Boot: 1}
	r, err := claim.Record()
	if err != nil {
		b.Fatal(err)
	}
	d.claimedAt = now
	d.ApplyRecords(now, nil, 0)
	d.Book.Apply(r)
	d.claimChanged(now)
	reports := make([]berylreport.Report, nodes)
	for i := range reports {
		node := "n" + strconv.Itoa(i)
		reports[i] = berylreport.Report{
			Node: node, Addr: node, Boot: 1, Incarnation: incarnation(node), Service: "s", Zone: "z", Listed: true,
			Labels: []string{"r1-" + strconv.Itoa(i/8)}, Capacity: berylroom.Resources{Millicores: 128_000, Megabytes: 256_000, Accelerators: slots},
		}
	}
	for i := range jobs {
		id := "j" + strconv.Itoa(i)
		s := step(width, 1)
		s.Gang = i%3 == 0
		if s.Gang {
			s.Count = 6
			s.OneRack = true
			s.Need.Accelerators = 4
		}
		queue := []string{"urgent", "routine"}[i%2]
		w := berylwork.Work{ID: id, Queue: queue, Steps: []berylwork.Step{s}, Accepted: now.UnixMilli()}
		sub, err := (&berylbook.Submission{Work: w}).Record()
		if err != nil {
			b.Fatal(err)
		}
		d.Book.Apply(sub)
	}
	ends := int64(0)
	b.ResetTimer()
	for n := range b.N {
		now = now.Add(interval)
		rep := &reports[n%nodes]
		rep.Seq++
		rep.Runs = rep.Runs[:0]
		rep.Ends = rep.Ends[:0]
		for _, s := range d.currentIndex().byNode[rep.Node] {
			if s.task.Phase == berylbook.Working && n%4 == 0 && len(rep.Ends) == 0 {
				ends++
				rep.Ends = append(rep.Ends, berylreport.End{Key: berylreport.Key{Task: s.name, Run: s.task.Run}, Seq: ends, Reason: berylreport.Stopped})
				continue
			}
			rep.Runs = append(rep.Runs, berylreport.Run{Key: berylreport.Key{Task: s.name, Run: s.task.Run}, Progress: float64(n / nodes % 90)})
		}
		d.ApplyRecords(now, nil, 0)
		d.Report(now, *rep)
		d.Step(now)
		for _, e := range d.Effects() {
			if _, ok := e.(Persist); ok {
				d.Committed(now)
			}
		}
		d.Orders(now)
	}
}
