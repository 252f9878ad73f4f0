package berylload

import (
	"testing"

	"github.com/matryer/is"

	"berylglade/berylwork"
)

// Guards against a single job of the largest legal size that is refused while nothing else
// runs, against an account that takes the room of all others, and against a sum without
// bound.
func TestAllows(t *testing.T) {
	const largest = 100_000
	tests := []struct {
		name string
		give Load
		job  int
		want bool
	}{
		{name: "largest job in calm", job: largest, want: true},
		{name: "largest job beside ordinary ones", give: Load{Account: 2000, Others: 20_000}, job: largest, want: true},
		{name: "second largest job of an account", give: Load{Account: largest}, job: largest},
		{name: "large job beside one of another account", give: Load{Others: largest}, job: largest},
		{name: "ordinary job beside many large ones", give: Load{Others: 3 * Max}, job: 500, want: true},
		{name: "ordinary job of an account with large ones", give: Load{Account: Max / 2, Others: 0}, job: 500},
		{name: "reserve used up", give: Load{Account: Reserved - 400, Others: Max}, job: 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.give.Allows(tt.job), tt.want)
		})
	}
}

// Accounts submit jobs of one size until no more are accepted. Guards against a sum beyond
// the bound.
func TestSumIsBounded(t *testing.T) {
	for _, job := range []int{1, 700, 9000, 100_000} {
		is := is.New(t)
		accounts := make([]int, 40)
		sum := 0
		for i := range accounts {
			for (Load{Account: accounts[i], Others: sum - accounts[i]}).Allows(job) {
				accounts[i] += job
				sum += job
			}
		}
		is.True(sum <= Max+Reserved*len(accounts))
		is.True(sum > 0)
	}
}

// A body of the largest legal size may hold thousands of steps or of tasks. Guards against
// a job that no limit of the pages forbids and that is never accepted.
func TestLargestJobsFit(t *testing.T) {
	const body = 256 << 10
	steps := make([]berylwork.Step, body/len(`{"count":1},`))
	for i := range steps {
		steps[i].Count = 1
	}
	wide := []berylwork.Step{{Count: 20_000}, {Count: 20_000}, {Count: 20_000}, {Count: 20_000}, {Count: 20_000}}
	for _, w := range []berylwork.Work{{Steps: steps}, {Steps: wide, Spec: string(make([]byte, body))}, {Steps: steps[:1], Times: 100_000}} {
		is := is.New(t)
		is.NoErr(w.Validate())
		is.True(Load{}.Allows(w.Load()))
	}
}
