package beryldirector

import "berylglade/berylwork"

// preempted is what a job has lost by preemptions.
type preempted struct {
	// units is the number of preemptions of units.
	units int
	// discarded is the work that had to be repeated, in core-seconds.
	discarded float64
}

// JobEnded tells the entry about a job that has ended. It is for metrics only.
type JobEnded struct {
	Queue string
	// Discarded is the work, in core-seconds, that the job lost by preemptions which the
	// present leader ordered.
	Discarded float64
}

func (JobEnded) effect() {}

// notePreempted adds a preemption of a unit to those of its job, and returns the work that
// has to be repeated, in core-seconds.
func (d *Director) notePreempted(unit string) float64 {
	ref, ok := berylwork.ParseRef(unit)
	if !ok {
		return 0
	}
	j, t := d.Book.Task(ref)
	if t == nil {
		return 0
	}
	discarded := d.costOf(d.now, j, ref, t).Discarded()
	p := d.preempted[j.Work.ID]
	p.units++
	p.discarded += discarded
	d.preempted[j.Work.ID] = p
	return discarded
}
