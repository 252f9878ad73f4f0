package beryldirector

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
)

const (
	// _idleBound is how long a job may wait although there is capacity for it twice over and
	// more than half of all is free.
	_idleBound = 3 * time.Second
	// _gangBound is how long a gang may wait from the time at which nothing but smaller, less
	// urgent work is in its way, in addition to the longest run of that.
	_gangBound = 5 * time.Second
)

// reservationDay is a day drawn from a seed: a job that holds part of some backend servers, a
// gang that needs more than is left, and a stream of small jobs that are less urgent.
type reservationDay struct {
	*days
	r    *rand.Rand
	next int
	// blocker is how long the first job runs; zero if it is cancelled at the end of the day.
	blocker time.Duration
	// small is how long the jobs of the stream run at most.
	small time.Duration
	// idleFor is for how long each job has been waiting beside idle capacity.
	idleFor map[string]time.Duration
	// worst is the longest such time.
	worst time.Duration
}

func newReservationDay(t *testing.T, seed uint64) *reservationDay {
	return &reservationDay{
		days: newDays(t, 3+int(seed%4)), r: rand.New(rand.NewPCG(seed, 7)), idleFor: map[string]time.Duration{},
	}
}

// block submits the job that is in the way of the gang: tasks that run until they are
// stopped, or for a time that is declared too long, too short or rightly, or for longer than
// their progress promises.
func (d *reservationDay) block() {
	s := lastingApart(1+d.r.IntN(len(d.nodes)), 1+d.r.IntN(2))
	kind := d.r.IntN(5)
	if kind > 0 {
		s.LongRunning = false
		d.blocker = time.Duration(2+d.r.IntN(40)) * time.Second
		s.Estimate = d.blocker.Milliseconds()
	}
	switch kind {
	case 2:
		s.Estimate *= 8
	case 3:
		s.Estimate /= 8
	case 4:
		d.list = func(r *berylreport.Run) {
			if r.Task[:2] == "b." {
				r.Progress = 99
			}
		}
	}
	d.job("b", "urgent", d.blocker, s)
}

// stream plays a time with a steady stream of small jobs.
func (d *reservationDay) stream(total time.Duration, every int) {
	for end, n := d.now.Add(total), 0; d.now.Before(end); n++ {
		if n%every == 0 {
			d.submitSmall()
		}
		d.play(_dayStep)
		d.noteIdle()
	}
}

func (d *reservationDay) submitSmall() {
	s := step(1, 1+d.r.IntN(2))
	took := time.Duration(300+d.r.Int64N(d.small.Milliseconds()-300)) * time.Millisecond
	s.Estimate = took.Milliseconds()
	switch d.r.IntN(4) {
	case 0:
		s.Estimate *= 10
	case 1:
		s.Estimate /= 10
	}
	d.job("s"+strconv.Itoa(d.next), "routine", took, s)
	d.next++
}

// noteIdle adds up for how long jobs wait beside idle capacity.
func (d *reservationDay) noteIdle() {
	used := 0
	free := map[string]int{}
	for _, node := range d.nodes {
		free[node] = 8
	}
	for _, run := range d.runs {
		n := d.d.Book.Jobs[run.job].Work.Steps[0].Need.Accelerators
		used += n
		free[run.node] -= n
	}
	for id, j := range d.d.Book.Jobs {
		s := &j.Work.Steps[0]
		room := 0
		for _, n := range free {
			room += n / s.Need.Accelerators
		}
		waits := !j.State.Final() && j.CancelledAt == 0 && j.At(0, 0, 0).Phase == berylbook.Idle
		if !waits || s.MaxPerHost > 0 || room < 2*s.Count || 2*used >= 8*len(d.nodes) {
			delete(d.idleFor, id)
			continue
		}
		d.idleFor[id] += _dayStep
		d.worst = max(d.worst, d.idleFor[id])
	}
}

// Plays drawn days. Guards, on the same days, against both sides of a reservation: small jobs
// that wait beside idle capacity, and a gang that does not start beside a steady stream of
// them. RESERVATION_SEED sets the first seed and RESERVATION_SEEDS the number of days.
func TestReservationDays(t *testing.T) {
	var gangs, smalls []time.Duration
	var worst time.Duration
	stopped := 0
	first := envInt("RESERVATION_SEED", 1)
	for seed := first; seed < first+envInt("RESERVATION_SEEDS", 12); seed++ {
		t.Run("seed "+strconv.Itoa(seed), func(t *testing.T) {
			d := newReservationDay(t, uint64(seed))
			gang, small := d.playDay()
			gangs = append(gangs, gang)
			smalls = append(smalls, small...)
			worst = max(worst, d.worst)
			for _, n := range d.stopped {
				stopped += n
			}
		})
	}
	t.Logf("gang: mean %v, longest %v; small jobs: %d, mean %v, longest %v, longest beside idle capacity %v; runs stopped: %d",
		mean(gangs), slices.Max(gangs), len(smalls), mean(smalls), slices.Max(smalls), worst, stopped)
}

// playDay returns how long the gang waited once only less urgent work was in its way, and
// how long each small job waited.
func (d *reservationDay) playDay() (gangWait time.Duration, smalls []time.Duration) {
	d.small = []time.Duration{time.Second, 4 * time.Second, 12 * time.Second}[d.r.IntN(3)]
	every := 1 + d.r.IntN(8)
	d.block()
	d.stream(3*time.Second, every)
	d.job("gang", []string{"gangs", "urgent"}[d.r.IntN(2)], 4*time.Second, gang(len(d.nodes), 8))
	if d.blocker > 0 {
		for d.ended["b"].IsZero() {
			d.stream(_dayStep, every)
		}
	} else {
		d.stream(20*time.Second, every)
		d.cancel("b")
	}
	clearAt := d.now
	limit := d.small + _gangBound
	for d.started["gang"].IsZero() && d.now.Sub(clearAt) <= 60*time.Second {
		d.stream(_dayStep, every)
	}
	gangWait = d.now.Sub(clearAt)
	if gangWait > limit {
		d.t.Errorf("the gang waited for %v, longer than %v, beside small jobs of up to %v", gangWait, limit, d.small)
	}
	if d.worst > _idleBound {
		d.t.Errorf("a job waited for %v beside idle capacity", d.worst)
	}
	for i := range d.next {
		smalls = append(smalls, d.waited("s"+strconv.Itoa(i)))
	}
	return gangWait, smalls
}

func mean(list []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return (sum / time.Duration(len(list))).Round(time.Millisecond)
}
