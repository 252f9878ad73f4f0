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
	"time"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylreport"
	"berylglade/berylroom"
)

// Limits are the times that a keeper works with.
type Limits struct {
	// LeaderTimeout is how long the lease is extended without an answer of a leader.
	LeaderTimeout time.Duration
	// Lease is how far the lease reaches.
	Lease time.Duration
	// Poll is how long a listing waits for a new end.
	Poll time.Duration
}

// Heartbeat is a heartbeat of the backend server.
type Heartbeat struct {
	Incarnation     berylbook.Incarnation
	Addr      string
	Service   string
	Zone      string
	Labels    []string
	Capacity      berylroom.Resources
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
	Seq   int64
	Listing berylexecutor.Listing
	Err     error
}

// IssuedCall is a call to make with its number.
type IssuedCall struct {
	Call  berylexecutor.Call
	Seq int64
	// Timeout bounds the call.
	Timeout time.Duration
}

// Keeper is the state of one agent. It has one owner.
type Keeper struct {
	Limits Limits
	Node   string
	Addr   string
	Boot   int64

	beat   Heartbeat
	born   bool
	fence  int64
	epoch  int64
	runs   map[berylreport.Key]*run
	list   berylexecutor.Listing
	looked bool
	// past has the ends of the last life; the leader may not have heard of them.
	past berylreport.PastEnds
	// unsure is true after a call without an outcome, until a listing shows that
	// the backend server is the one that is known: it may have been born again.
	unsure bool
	// unsureAt is the number of the last call before the doubt.
	unsureAt int64
	// strays is true in a new life until its listing has no runs. What runs there
	// was started by a call of the last life.
	strays bool
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

// Reportable reports whether the leader may be told of this life. The leader takes
// the runs of the last life for over then, so strays must be gone.
func (k *Keeper) Reportable() bool { return k.beat.Incarnation.Instance != "" && !k.strays }

// Incarnation returns the life of the backend server that is known.
func (k *Keeper) Incarnation() berylbook.Incarnation { return k.beat.Incarnation }

// Epoch returns the highest epoch of a leader that was heard of.
func (k *Keeper) Epoch() int64 { return k.epoch }

// Heartbeat takes a heartbeat in. It returns false if it belongs to an earlier life.
func (k *Keeper) Heartbeat(now time.Time, b Heartbeat) bool {
	b.Incarnation.Node = k.Node
	same := b.Incarnation == k.beat.Incarnation
	if same && b.Seq <= k.beat.Seq {
		return true
	}
	if b.Incarnation.StartedAt < k.beat.Incarnation.StartedAt {
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
		k.strays = true
		k.past = berylreport.PastEnds{Incarnation: k.beat.Incarnation, Ends: k.unnoted()}
	}
	k.born = true
	k.unsure = false
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

// BackendClock estimates the clock of the backend server; zero if it is not known.
func (k *Keeper) BackendClock(now time.Time) int64 {
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
	if o.Incarnation != k.beat.Incarnation {
		k.changed = true
		return berylreport.Receipt{Epoch: k.epoch}
	}
	k.note(o.Acked)
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
func (k *Keeper) Answer(a berylreport.Answer, place berylbook.Incarnation, sent int64) {
	k.epoch = max(k.epoch, a.Epoch)
	if !a.FromLeader || a.Epoch < k.epoch || place != k.beat.Incarnation {
		return
	}
	k.contact = max(k.contact, sent)
	k.note(a.Acked)
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

// unnoted returns the listed ends that are not noted yet.
func (k *Keeper) unnoted() []berylreport.End {
	var ends []berylreport.End
	for _, e := range k.list.Ends {
		if e.Seq > k.noted {
			ends = append(ends, e)
		}
	}
	return ends
}

// Report returns what the leader should know.
func (k *Keeper) Report(now time.Time) berylreport.Report {
	k.seq++
	r := berylreport.Report{
		Node: k.Node, Addr: k.Addr, Seq: k.seq, Boot: k.Boot, Incarnation: k.beat.Incarnation,
		Service: k.beat.Service, Zone: k.beat.Zone, Labels: k.beat.Labels, Capacity: k.beat.Capacity,
		Draining: k.beat.Draining, Remaining: k.beat.Remaining,
		Listed: k.looked, Unresponsive: k.silent >= _silentAfter || k.down, LeaseExpired: k.lapsed(now),
		Runs: k.list.Runs, Ends: k.unnoted(), PastEnds: k.past,
	}
	for _, key := range k.keys() {
		run := k.runs[key]
		switch {
		case run.phase == absent:
			r.Absent = append(r.Absent, key)
		case !run.seen && (run.phase == wanted || run.phase == accepted):
			r.Received = append(r.Received, key)
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
	// _repeatPause is the pause before a call without an outcome is repeated.
	_repeatPause = 20 * time.Millisecond
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
