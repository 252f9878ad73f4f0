package berylkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

// taskNames returns the names of n tasks of one step.
func taskNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("a.0.0.%d", i)
	}
	return names
}

// startAll orders the tasks, confirms their starts and answers listing calls with a listing
// that has them all.
func startAll(now time.Time, k *Keeper, tasks []string) {
	l := berylexecutor.Listing{Clock: k.BackendClock(now) + 1, StartedAt: 5}
	for _, t := range tasks {
		l.Runs = append(l.Runs, berylreport.Run{Key: key(t)})
	}
	k.Orders(now, orders(now, k, tasks, nil))
	for range 2 {
		for _, c := range k.Calls(now) {
			o := Outcome{Call: c.Call, Seq: c.Seq}
			if _, ok := c.Call.(berylexecutor.RenewCall); ok {
				o.Listing = l
			}
			k.Outcome(now, o)
		}
	}
}

// Thousands of tasks have ended in the last seconds. Guards against an agent that walks
// through all of them at each event, so that the starts and stops of other jobs wait for it
// (review/13); and against a late order that starts one of them again.
func TestSettledRunsCostNothing(t *testing.T) {
	is := is.New(t)
	now := start()
	empty, k := readyKeeper(is, now), readyKeeper(is, now)
	tasks := taskNames(2000)
	startAll(now, k, tasks)
	done := berylexecutor.Listing{Clock: k.BackendClock(now) + 2, StartedAt: 5}
	now = now.Add(time.Second)
	answerListings(now, k, done)
	answerListings(now, empty, done)
	k.Calls(now)
	empty.Calls(now)
	cost := func(k *Keeper) float64 { return testing.AllocsPerRun(10, func() { k.Calls(now) }) }
	is.Equal(cost(k), cost(empty))

	k.Orders(now, orders(now, k, tasks[:10], nil))
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 0)

	k.Orders(now, orders(now, k, nil, tasks[:1]))
	is.Equal(only[berylexecutor.StopCall](is, k.Calls(now)).Call.(berylexecutor.StopCall).Key, key(tasks[0]))

	now = now.Add(_runRetention + time.Second)
	k.Calls(now)
	is.Equal(len(k.runs), 1)
}

// Guards against a settled run that is forgotten too early because it was stopped, and so
// settled again, later: a late order for it would start it again.
func TestRunSettledTwiceIsRememberedFromTheSecondTime(t *testing.T) {
	is := is.New(t)
	now := start()
	k := readyKeeper(is, now)
	startAll(now, k, taskNames(1))
	task := taskNames(1)[0]
	now = now.Add(_runRetention - time.Second)
	k.Calls(now)
	k.Orders(now, orders(now, k, nil, []string{task}))
	ended := berylexecutor.Listing{Clock: k.BackendClock(now) + 1, StartedAt: 5, Ends: []berylreport.End{doneEnd(1, task)}}
	answerCalls(now, k, ended)
	ended.Clock++
	answerCalls(now, k, ended)
	k.Calls(now)
	is.Equal(k.runs[key(task)].phase, accepted)
	is.Equal(len(k.open), 0)

	now = now.Add(2 * time.Second)
	k.Calls(now)
	k.Orders(now, orders(now, k, []string{task}, nil))
	is.Equal(len(callsOf[berylexecutor.StartCall](k.Calls(now))), 0)

	now = now.Add(_runRetention)
	k.Calls(now)
	is.Equal(len(k.runs), 0)
}
