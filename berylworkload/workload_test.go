package berylworkload

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a seed that gives different workloads, and against two seeds that
// give the same one.
func TestSeedDecidesWorkload(t *testing.T) {
	tests := []struct {
		name  string
		build func(seed uint64) *Workload
	}{
		{name: "quabbin", build: Quabbin},
		{name: "ribnica", build: Ribnica},
		{name: "target", build: func(seed uint64) *Workload { return Target(seed, 70) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.build(1), tt.build(1))
			is.True(tt.build(1).Jobs[0].Run != tt.build(2).Jobs[0].Run)
			checkJobs(t, tt.build(1))
		})
	}
}

// checkJobs checks that every job is valid, that its class and client account are in
// the configuration, and that the jobs are in order of arrival.
func checkJobs(t *testing.T, w *Workload) {
	t.Helper()
	is := is.New(t)
	for i := range w.Jobs {
		j := &w.Jobs[i].Job
		_, class := w.Config.Classes[j.Class]
		_, account := w.Config.Accounts[j.Account]
		is.True(class)
		is.True(account)
		is.NoErr(j.Check())
		is.True(i == 0 || !j.Accepted.Before(w.Jobs[i-1].Job.Accepted))
	}
}

// Guards against a target workload whose size differs from the target scale.
func TestTargetSize(t *testing.T) {
	is := is.New(t)
	w := Target(1, 11000)
	is.Equal(len(w.Workers), 11000)
	is.Equal(len(w.Jobs), 6300)
	is.Equal(len(w.Config.Accounts), 150)
	is.Equal(len(w.Config.Domains), 7)
}
