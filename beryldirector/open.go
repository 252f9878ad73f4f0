package beryldirector

import (
	"berylglade/berylbook"
	"berylglade/berylload"
)

// openJobs is the load of the jobs of which a run was ordered. Their tasks take memory, in
// contrast to those of jobs that wait. So a store with more jobs than the bound, accepted by
// an earlier build, is worked through some jobs at a time.
type openJobs struct {
	// all is the load of all accounts, and accounts that of each.
	all      int
	accounts map[string]int
	// jobs has the open jobs.
	jobs map[*berylbook.Job]bool
}

// openJobs returns the jobs of which a run was ordered and that have not ended.
func (d *Director) openJobs() *openJobs {
	o := &openJobs{accounts: map[string]int{}, jobs: map[*berylbook.Job]bool{}}
	for _, j := range d.liveJobs() {
		o.note(j)
	}
	return o
}

// note adds the job if it is open.
func (o *openJobs) note(j *berylbook.Job) {
	if o.jobs[j] || !j.Ordered() {
		return
	}
	o.jobs[j] = true
	o.all += j.Load
	o.accounts[j.Work.Account] += j.Load
}

// allows reports whether runs of the job may be ordered: it is open, or its load is allowed
// beside that of the open ones. A job that is alone always is.
func (o *openJobs) allows(j *berylbook.Job) bool {
	if o.jobs[j] || o.all == 0 {
		return true
	}
	own := o.accounts[j.Work.Account]
	return berylload.Load{Account: own, Others: o.all - own}.Allows(j.Load)
}
