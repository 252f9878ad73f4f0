// Package berylkeeper decides for an agent how its backend server is driven:
// which starts and stops are sent, how long the lease reaches, and what is
// reported to the leader.
//
// A [Keeper] has no input and output. The agent hands it heartbeats of the
// backend server, orders and answers of the leader, and outcomes of calls; it
// returns the calls to make and the report to send. The lease never reaches
// further than Contact plus Lease after the moment at which the last report was
// sent that the leader answered, measured on the clock of the backend server.
// The leader counts on that when an agent is silent.
package berylkeeper

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylreport"
	"berylglade/berylroom"
)

// Limits are the times that a keeper works with.
type Limits struct {
	// Contact is how long the lease is extended without an answer of a leader.
	Contact time.Duration
	// Lease is how far the lease reaches.
	Lease time.Duration
	// Poll is how long a listing waits for a new end.
	Poll time.Duration
}

// Beat is a heartbeat of the backend server.
type Beat struct {
	Place     berylbook.Place
	Addr      string
	Service   string
	Zone      string
	Labels    []string
	Room      berylroom.Room
	Draining  bool
	Remaining int64
	// Seq grows with each heartbeat of one life.
	Seq int64
	// Clock is the clock of the backend server in milliseconds; zero if unknown.
	Clock int64
}

type phase uint8

const (
	// wanted means that a start is to be sent.
	wanted phase = iota + 1
	// accepted means that the backend server has confirmed the start.
	accepted
	// stopping means that a stop is to be sent until it is confirmed.
	stopping
	// stopped means that the stop was confirmed and no listing was made since.
	stopped
	// absent means that the run does not exist and never will.
	absent
)

// run is what the keeper does about one run.
type run struct {
	start berylreport.Start
	phase phase
	// doubt is true if a start was sent whose outcome is not known.
	doubt bool
	// busy is true while a call about the run is under way.
	busy bool
	// next is when the call may be sent again.
	next time.Time
	// seen is true once a listing had the run.
	seen bool
	// after is the number of the listing call that settles a confirmed stop.
	after int64
	// touched is when the phase last changed.
	touched time.Time
}

// Outcome is the result of a call.
type Outcome struct {
	Call    berylexecutor.Call
	Issue   int64
	Listing berylexecutor.Listing
	Err     error
}

// Task is a call to make with its number.
type Task struct {
	Call  berylexecutor.Call
	Issue int64
	// Timeout bounds the call.
	Timeout time.Duration
}

// Keeper is the state of one agent. It has one owner.
type Keeper struct {
	Limits Limits
	Node   string
	Addr   string
	Boot   int64

	beat   Beat
	born   bool
	fence  int64
	epoch  int64
	runs   map[berylreport.Key]*run
	list   berylexecutor.Listing
	looked bool
	// newest is the number of the latest listing call whose reply was used.
	newest int64
	issue  int64
	// holding is the number of the listing call that waits for ends; zero if
	// none does.
	holding int64
	recheck bool
	nextAt  time.Time

	clockAt  time.Time
	clock    int64
	deadline int64
	contact  int64
	silent   int
	down     bool
	noted    int64
	seq      int64
	changed  bool
	replied  time.Time
}

// New returns a keeper without a backend server. Boot is the time at which the
// process started, in Unix milliseconds, and the first fence.
func New(node, addr string, boot int64, limits Limits) *Keeper {
	return &Keeper{
		Limits: limits, Node: node, Addr: addr, Boot: boot, fence: boot,
		runs: map[berylreport.Key]*run{},
	}
}

// Place returns the life of the backend server that is known.
func (k *Keeper) Place() berylbook.Place { return k.beat.Place }

// Epoch returns the highest epoch of a leader that was heard of.
func (k *Keeper) Epoch() int64 { return k.epoch }

// Beat takes a heartbeat in. It returns false if it belongs to an earlier life.
func (k *Keeper) Beat(now time.Time, b Beat) bool {
	b.Place.Node = k.Node
	same := b.Place == k.beat.Place
	if same && b.Seq <= k.beat.Seq {
		return true
	}
	if b.Place.Born < k.beat.Place.Born {
		return false
	}
	if !same {
		k.rebirth()
	}
	if b.Draining != k.beat.Draining || !same {
		k.changed = true
	}
	k.beat = b
	if b.Clock > 0 && k.clock == 0 {
		k.setClock(now, b.Clock)
	}
	return true
}

// rebirth forgets the last life. The higher fence stops its late starts.
func (k *Keeper) rebirth() {
	if k.born {
		k.fence++
	}
	k.born = true
	clear(k.runs)
	k.list = berylexecutor.Listing{}
	k.looked = false
	k.newest = k.issue
	k.holding = 0
	k.clock, k.deadline, k.contact = 0, 0, 0
	k.silent, k.down = 0, false
	k.noted = 0
	k.nextAt = time.Time{}
	k.replied = time.Time{}
}

func (k *Keeper) setClock(now time.Time, clock int64) {
	k.clock = clock
	k.clockAt = now
}

// reading estimates the clock of the backend server.
func (k *Keeper) reading(now time.Time) int64 {
	if k.clock == 0 {
		return 0
	}
	return k.clock + now.Sub(k.clockAt).Milliseconds()
}

// Orders takes the leader's orders in.
func (k *Keeper) Orders(now time.Time, o berylreport.Orders) berylreport.Receipt {
	if o.Epoch < k.epoch {
		return berylreport.Receipt{Epoch: k.epoch}
	}
	k.epoch = o.Epoch
	if o.Place != k.beat.Place {
		k.changed = true
		return berylreport.Receipt{Epoch: k.epoch}
	}
	k.note(o.Noted)
	for _, s := range o.Start {
		k.wantStart(now, s)
	}
	for _, key := range o.Stop {
		k.wantStop(now, key)
	}
	return berylreport.Receipt{Epoch: k.epoch}
}

func (k *Keeper) note(n int64) {
	if n > k.noted {
		k.noted = n
		k.recheck = true
	}
}

func (k *Keeper) wantStart(now time.Time, s berylreport.Start) {
	if k.runs[s.Key] != nil {
		return
	}
	r := &run{start: s, phase: wanted, touched: now}
	k.runs[s.Key] = r
	if k.beat.Draining {
		// The backend server is leaving; a start that was ordered before the
		// leader knew is refused here.
		r.phase = absent
		k.changed = true
	}
}

func (k *Keeper) wantStop(now time.Time, key berylreport.Key) {
	r := k.runs[key]
	if r == nil {
		r = &run{start: berylreport.Start{Key: key}, doubt: true}
		k.runs[key] = r
	}
	if r.phase == wanted && !r.doubt && !r.busy {
		k.set(now, r, absent)
		return
	}
	switch r.phase {
	case stopping, stopped:
	case absent:
		k.changed = true
	default:
		k.set(now, r, stopping)
	}
}

func (k *Keeper) set(now time.Time, r *run, p phase) {
	r.phase = p
	r.touched = now
	r.next = now
	k.changed = true
}

// Answer takes the reply to a report in. Sent is the estimate of the backend
// server's clock at the time at which the report was sent.
func (k *Keeper) Answer(a berylreport.Answer, place berylbook.Place, sent int64) {
	k.epoch = max(k.epoch, a.Epoch)
	if !a.Led || a.Epoch < k.epoch || place != k.beat.Place {
		return
	}
	k.contact = max(k.contact, sent)
	k.note(a.Noted)
}

// Reading returns the estimate of the backend server's clock for Answer.
func (k *Keeper) Reading(now time.Time) int64 { return k.reading(now) }

func (k *Keeper) target() berylexecutor.Target {
	return berylexecutor.Target{Addr: k.beat.Addr, Instance: k.beat.Place.Instance, Fence: k.fence}
}

// lease returns the deadline that may be given now, or zero.
func (k *Keeper) lease(now time.Time) int64 {
	clock := k.reading(now)
	if clock == 0 || k.contact == 0 {
		return 0
	}
	reach := k.Limits.Lease.Milliseconds()
	d := min(clock+reach, k.contact+k.Limits.Contact.Milliseconds()+reach)
	if d <= clock {
		return 0
	}
	return d
}

// Calls returns what to send to the backend server now.
func (k *Keeper) Calls(now time.Time) []Task {
	if k.beat.Place.Instance == "" {
		return nil
	}
	var tasks []Task
	for _, key := range k.keys() {
		r := k.runs[key]
		if k.forget(now, r) {
			delete(k.runs, key)
			continue
		}
		if t, ok := k.runCall(now, r); ok {
			tasks = append(tasks, t)
		}
	}
	return append(tasks, k.holdCalls(now)...)
}

// keys returns the known runs in a fixed order.
func (k *Keeper) keys() []berylreport.Key {
	return slices.SortedFunc(maps.Keys(k.runs), func(a, b berylreport.Key) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
}

func (k *Keeper) forget(now time.Time, r *run) bool {
	if r.busy || r.phase == wanted || r.phase == stopping || r.phase == stopped {
		return false
	}
	return now.Sub(r.touched) > _remember
}

func (k *Keeper) runCall(now time.Time, r *run) (Task, bool) {
	if r.busy || now.Before(r.next) {
		return Task{}, false
	}
	switch r.phase {
	case wanted:
		lease := k.lease(now)
		if lease == 0 || !k.looked {
			return Task{}, false
		}
		r.busy = true
		// The deadline of a start is short, so that it is refused if it is
		// carried out seconds late.
		deadline := min(lease, k.reading(now)+_startDeadline.Milliseconds())
		k.deadline = max(k.deadline, deadline)
		return k.task(berylexecutor.StartCall{Target: k.target(), Start: r.start, Deadline: deadline}, _callTimeout), true
	case stopping:
		r.busy = true
		return k.task(berylexecutor.StopCall{Target: k.target(), Key: r.start.Key}, _callTimeout), true
	default:
		return Task{}, false
	}
}

func (k *Keeper) task(c berylexecutor.Call, timeout time.Duration) Task {
	k.issue++
	return Task{Call: c, Issue: k.issue, Timeout: timeout}
}

func (k *Keeper) holdCalls(now time.Time) []Task {
	var tasks []Task
	if k.recheck {
		k.recheck = false
		tasks = append(tasks, k.hold(now, 0))
	}
	if k.holding == 0 && !now.Before(k.nextAt) {
		wait := k.Limits.Poll
		if !k.looked {
			wait = 0
		}
		t := k.hold(now, wait)
		k.holding = t.Issue
		tasks = append(tasks, t)
	}
	return tasks
}

func (k *Keeper) hold(now time.Time, wait time.Duration) Task {
	deadline := k.lease(now)
	k.deadline = max(k.deadline, deadline)
	call := berylexecutor.HoldCall{Target: k.target(), Deadline: deadline, Noted: k.noted, Wait: wait}
	return k.task(call, wait+_callTimeout)
}

// Outcome takes the result of a call in.
func (k *Keeper) Outcome(now time.Time, o Outcome) {
	switch c := o.Call.(type) {
	case berylexecutor.StartCall:
		if c.Instance == k.beat.Place.Instance {
			k.heard(now, o)
			k.startOutcome(now, c, o.Err)
		}
	case berylexecutor.StopCall:
		if c.Instance == k.beat.Place.Instance {
			k.heard(now, o)
			k.stopOutcome(now, c, o)
		}
	case berylexecutor.HoldCall:
		if o.Issue == k.holding {
			k.holding = 0
		}
		if c.Instance == k.beat.Place.Instance {
			k.heard(now, o)
			k.holdOutcome(now, o)
		}
	}
}

// heard follows whether the backend server answers, and its clock.
func (k *Keeper) heard(now time.Time, o Outcome) {
	if o.Listing.Clock > 0 {
		k.setClock(now, o.Listing.Clock)
	}
	if errors.Is(o.Err, berylexecutor.ErrFenced) {
		k.fence += _fenceStep
	}
	was := k.silent >= _silentAfter || k.down
	switch {
	case o.Err == nil || answered(o.Err):
		k.silent, k.down = 0, false
		k.replied = now
	case errors.Is(o.Err, berylexecutor.ErrDown):
		k.down = true
		k.silent++
	default:
		k.silent++
	}
	if was != (k.silent >= _silentAfter || k.down) {
		k.changed = true
	}
}

func answered(err error) bool {
	return errors.Is(err, berylexecutor.ErrRefused) || errors.Is(err, berylexecutor.ErrFenced) ||
		errors.Is(err, berylexecutor.ErrBusy) || errors.Is(err, berylexecutor.ErrOther)
}

func (k *Keeper) startOutcome(now time.Time, c berylexecutor.StartCall, err error) {
	r := k.runs[c.Key]
	if r == nil {
		return
	}
	r.busy = false
	switch {
	case err == nil:
		if r.phase == wanted {
			k.set(now, r, accepted)
		}
		k.recheck = true
	case errors.Is(err, berylexecutor.ErrRefused) && r.phase == wanted:
		// An earlier try may still be carried out, so the run is stopped first.
		if r.doubt {
			k.set(now, r, stopping)
			return
		}
		k.set(now, r, absent)
	case errors.Is(err, berylexecutor.ErrBusy), errors.Is(err, berylexecutor.ErrFenced):
		r.next = now.Add(_retryPause)
	case errors.Is(err, berylexecutor.ErrDown):
		r.next = now.Add(_retryPause)
	case errors.Is(err, berylexecutor.ErrOther):
		r.next = now.Add(_retryPause)
	default:
		r.doubt = true
		r.next = now
	}
}

func (k *Keeper) stopOutcome(now time.Time, c berylexecutor.StopCall, o Outcome) {
	r := k.runs[c.Key]
	if r == nil {
		return
	}
	r.busy = false
	if o.Err != nil {
		r.next = now.Add(_retryPause)
		return
	}
	if r.phase == stopping {
		r.phase = stopped
		r.touched = now
		r.after = k.issue
		k.recheck = true
	}
}

func (k *Keeper) holdOutcome(now time.Time, o Outcome) {
	if o.Err != nil {
		k.nextAt = now.Add(_retryPause)
		return
	}
	if o.Listing.Born != 0 && o.Listing.Born != k.beat.Place.Born {
		// A new life under the same name answered before its heartbeat came.
		return
	}
	if o.Issue <= k.newest {
		return
	}
	k.newest = o.Issue
	if !k.looked || differs(k.list, o.Listing) {
		k.changed = true
	}
	if !k.looked {
		// An earlier process of this agent may have given a full lease.
		k.deadline = max(k.deadline, o.Listing.Clock+k.Limits.Lease.Milliseconds())
	}
	k.looked = true
	k.list = o.Listing
	k.settleRuns(now, o)
}

func differs(a, b berylexecutor.Listing) bool {
	if len(a.Runs) != len(b.Runs) || len(a.Ends) != len(b.Ends) {
		return true
	}
	for i := range a.Runs {
		if a.Runs[i].Key != b.Runs[i].Key {
			return true
		}
	}
	for i := range a.Ends {
		if a.Ends[i].N != b.Ends[i].N {
			return true
		}
	}
	return false
}

// settleRuns moves runs on by what a listing has of them.
func (k *Keeper) settleRuns(now time.Time, o Outcome) {
	listed := map[berylreport.Key]bool{}
	for _, r := range o.Listing.Runs {
		listed[r.Key] = true
	}
	ended := map[berylreport.Key]bool{}
	for _, e := range o.Listing.Ends {
		ended[e.Key] = true
	}
	for _, key := range k.keys() {
		r := k.runs[key]
		if listed[key] || ended[key] {
			r.seen = true
		}
		if r.phase != stopped || o.Issue <= r.after {
			continue
		}
		switch {
		case listed[key]:
			k.recheckLater(now)
		case ended[key]:
			r.phase = accepted
			r.touched = now
		default:
			k.set(now, r, absent)
		}
	}
}

// recheckLater asks for another listing soon: a stop takes a moment.
func (k *Keeper) recheckLater(now time.Time) {
	k.nextAt = now.Add(_stopCheck)
	k.recheck = false
}

// lapsed reports whether the lease must have run out. The clock of the backend
// server may be slow.
func (k *Keeper) lapsed(now time.Time) bool {
	if k.down {
		return true
	}
	if k.silent < _silentAfter || k.replied.IsZero() || !k.looked {
		return false
	}
	elapsed := float64(now.Sub(k.clockAt).Milliseconds()) * _slowClock
	return k.clock+int64(elapsed) > k.deadline+_lapseMargin.Milliseconds()
}

// Changed reports once whether the report has news for the leader.
func (k *Keeper) Changed() bool {
	c := k.changed
	k.changed = false
	return c
}

// Report returns what the leader should know.
func (k *Keeper) Report(now time.Time) berylreport.Report {
	k.seq++
	r := berylreport.Report{
		Node: k.Node, Addr: k.Addr, Seq: k.seq, Boot: k.Boot, Place: k.beat.Place,
		Service: k.beat.Service, Zone: k.beat.Zone, Labels: k.beat.Labels, Room: k.beat.Room,
		Draining: k.beat.Draining, Remaining: k.beat.Remaining,
		Looked: k.looked, Silent: k.silent >= _silentAfter || k.down, Lapsed: k.lapsed(now),
		Runs: k.list.Runs,
	}
	for _, e := range k.list.Ends {
		if e.N > k.noted {
			r.Ends = append(r.Ends, e)
		}
	}
	for _, key := range k.keys() {
		run := k.runs[key]
		switch {
		case run.phase == absent:
			r.Absent = append(r.Absent, key)
		case !run.seen && (run.phase == wanted || run.phase == accepted):
			r.Handled = append(r.Handled, key)
		}
	}
	return r
}

const (
	// _startDeadline keeps a start from being carried out late: late ones come
	// two seconds or more after they were sent.
	_startDeadline = 1800 * time.Millisecond
	// _callTimeout bounds a call to a process on the same VM.
	_callTimeout = 400 * time.Millisecond
	// _retryPause is the pause after a refused or failed call.
	_retryPause = 150 * time.Millisecond
	// _stopCheck is the pause between listings while a run is being stopped.
	_stopCheck = 100 * time.Millisecond
	// _remember is how long a settled run is kept, so that a late order for it
	// is not taken for a new one.
	_remember = 30 * time.Second
	// _silentAfter is the number of failed calls in a row after which a backend
	// server gets no new work.
	_silentAfter = 2
	// _slowClock is the slowest rate of a backend server's clock.
	_slowClock = 0.97
	// _lapseMargin covers the time in which a lapsed run is ended.
	_lapseMargin = 300 * time.Millisecond
	// _fenceStep leads past the fence of an agent whose clock was ahead.
	_fenceStep = 10 * 60 * 1000
)
