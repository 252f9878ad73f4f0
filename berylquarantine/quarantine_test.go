package berylquarantine_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylquarantine"
)

// event is a failure of a job on a worker, or a success if the job is empty.
type event struct{ job, worker string }

// TestAttribution guards against quarantining a worker because of a faulty job, and
// against ending a job because of a faulty worker.
func TestAttribution(t *testing.T) {
	tests := []struct {
		name    string
		give    []event
		workers []string
		jobs    []string
	}{
		{name: "one job on one worker", give: []event{{"a", "1"}, {"a", "1"}, {"a", "1"}, {"a", "1"}}},
		{name: "several jobs on one worker", give: []event{{"a", "1"}, {"b", "1"}, {"c", "1"}}, workers: []string{"1"}},
		{name: "one job on several workers", give: []event{{"a", "1"}, {"a", "2"}, {"a", "3"}}, jobs: []string{"a"}},
		{
			name:    "job that failed on two faulty workers is not ended",
			give:    []event{{"a", "1"}, {"b", "1"}, {"c", "1"}, {"d", "2"}, {"e", "2"}, {"f", "2"}, {"a", "3"}, {"a", "4"}},
			workers: []string{"1", "2"},
		},
		{
			name: "worker on which other jobs succeed is not quarantined",
			give: []event{{"a", "1"}, {"", "1"}, {"b", "1"}, {"", "1"}, {"c", "1"}, {"", "1"}, {"a", "2"}, {"", "2"}, {"a", "3"}},
			jobs: []string{"a"},
		},
		{
			name:    "two faulty workers on which the same jobs failed",
			give:    []event{{"a", "1"}, {"a", "2"}, {"b", "1"}, {"b", "2"}, {"c", "1"}, {"c", "2"}, {"d", "1"}},
			workers: []string{"1", "2"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := &berylquarantine.Quarantine{}
			var jobs []string
			for _, e := range tt.give {
				if e.job == "" {
					q.RecordSuccess(e.worker)
					continue
				}
				if _, end := q.RecordFailure(time.Unix(0, 0), e.job, e.worker); end {
					jobs = append(jobs, e.job)
				}
			}
			is.Equal(q.Workers(), tt.workers)
			is.Equal(jobs, tt.jobs)
		})
	}
}

// TestProbe guards against a worker that stays in quarantine forever, and against
// probes that are not delayed further after a failed one.
func TestProbe(t *testing.T) {
	is := is.New(t)
	q := &berylquarantine.Quarantine{}
	now := time.Unix(0, 0)
	for _, j := range []string{"a", "b", "c"} {
		q.RecordFailure(now, j, "1")
	}
	is.Equal(len(q.StartDueProbes(now)), 0)
	now = now.Add(time.Minute)
	is.Equal(q.StartDueProbes(now), []string{"1"})
	is.Equal(len(q.StartDueProbes(now)), 0) // one probe at a time
	q.RecordFailure(now, "d", "1")
	is.Equal(len(q.StartDueProbes(now.Add(time.Minute))), 0)
	now = now.Add(2 * time.Minute)
	is.Equal(q.StartDueProbes(now), []string{"1"})
	q.RecordSuccess("1")
	is.True(!q.Quarantined("1"))
}

// TestFailureWindow guards against quarantining a worker for failures that are spread
// over a long time.
func TestFailureWindow(t *testing.T) {
	is := is.New(t)
	q := &berylquarantine.Quarantine{}
	now := time.Unix(0, 0)
	for i := range 20 {
		q.RecordFailure(now, strconv.Itoa(i), "1")
		now = now.Add(31 * time.Minute)
	}
	is.Equal(len(q.Workers()), 0)
}

// TestHealthyWorkersAndJobs guards against quarantining a healthy worker or ending a
// healthy job while faulty workers, on which every job fails, and faulty jobs, which fail
// on every worker, run among them in random order. There are only two faulty jobs: if
// three fail on a worker without a success in between, the worker can't be distinguished
// from a faulty one, so it is quarantined and probed instead of the jobs being ended.
func TestHealthyWorkersAndJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := &berylquarantine.Quarantine{}
		now := time.Unix(0, 0)
		n := rapid.IntRange(50, 300).Draw(rt, "runs")
		for i := range n {
			now = now.Add(time.Second)
			w := rapid.IntRange(0, 9).Draw(rt, "worker")
			faulty := rapid.IntRange(0, 9).Draw(rt, "faulty") == 0
			worker := strconv.Itoa(w)
			job := fmt.Sprint("good", i)
			if faulty {
				job = fmt.Sprint("faulty", i%2)
			}
			if q.Quarantined(worker) {
				continue
			}
			if !faulty && w > 1 {
				q.RecordSuccess(worker)
				continue
			}
			if _, end := q.RecordFailure(now, job, worker); end && !faulty {
				rt.Fatalf("healthy job %s was ended", job)
			}
			for _, w := range q.Workers() {
				if w > "1" {
					rt.Fatalf("healthy worker %s was quarantined", w)
				}
			}
		}
	})
}
