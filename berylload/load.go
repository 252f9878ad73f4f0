// Package berylload bounds the tasks of all accepted jobs together, because each entry
// keeps all jobs in memory, and the smallest VM has to do so too.
//
// Every entry applies the same rule to all jobs that it keeps, before it queues a submission,
// and the leader again before it records one. A job that has ended counts without its tasks.
// The leader also applies the rule to the jobs that it starts, so that jobs beyond the bound,
// which an earlier build has accepted or several entries at the same moment, wait without
// memory for their tasks.
package berylload

// Load is the load of jobs, as berylwork.Work.Load and berylwork.Work.EndedLoad count it.
type Load struct {
	// Account is that of the jobs of one client account, and Others that of all others.
	Account, Others int
}

// Max is the load that all accounts together may have, apart from Reserved for each.
const Max = 1 << 18

// Reserved is the load that each account may have whatever the others have.
const Reserved = 4096

// Allows reports whether a further job of the account may be accepted. An account may have
// half of what the others leave, so that one that sends large jobs leaves room for them.
func (l Load) Allows(job int) bool {
	return l.Account+job <= max((Max-l.Others)/2, Reserved)
}
