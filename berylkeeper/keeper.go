// Package berylkeeper decides how an agent drives its backend server: which
// starts and stops it sends, how far it extends the lease, and what it reports
// to the leader.
//
// A [Keeper] does no input or output. The agent passes it heartbeats of the
// backend server, orders and answers of the leader, and outcomes of calls; it
// returns the calls to make and the report to send.
//
// The end of the lease has an upper bound. It is counted from the time at which
// the agent sent the last report that the leader answered. The lease ends at most
// LeaderTimeout plus Lease after that time, measured on the clock of the backend
// server. The leader relies on this bound when an agent stops reporting.
package berylkeeper

import (
	"time"

	"berylglade/berylbook"
	"berylglade/berylexecutor"
	"berylglade/berylreport"
	"berylglade/berylroom"
)

// Limits are the durations that a keeper works with.
type Limits struct {
	// LeaderTimeout is how long the lease is still extended after the last contact
	// with the leader.
	LeaderTimeout time.Duration
	// Lease is the duration of the lease.
	Lease time.Duration
	// Poll is how long a listing call waits for a run to end.
	Poll time.Duration
}

// Heartbeat is a heartbeat of the backend server.
type Heartbeat struct {
	Incarnation berylbook.Incarnation
	Addr        string
	Service     string
	Zone        string
	Labels      []string
	Capacity    berylroom.Resources
	Draining    bool
	// Remaining is the minimum time until a draining backend server shuts down, in
	// milliseconds.
	Remaining int64
	// Seq increases with each heartbeat of one incarnation.
	Seq int64
	// Clock is the clock of the backend server in milliseconds; zero if unknown.
	Clock int64
}

type phase uint8

const (
	// starting means that a start has to be sent.
	starting phase = iota + 1
	// accepted means that the backend server has confirmed the start.
	accepted
	// stopping means that a stop is sent until it is confirmed.
	stopping
	// stopped means that the stop is confirmed, but no later listing has arrived.
	stopped
	// absent means that the run does not exist and will never start.
	absent
)

// run is the state of one run.
type run struct {
	start berylreport.Start
	phase phase
	// unconfirmed is true if a start may have been sent whose outcome is unknown.
	unconfirmed bool
	// inFlight is true while a call about the run is in flight.
	inFlight bool
	// retryAt is the earliest time for the next call.
	retryAt time.Time
	// listed is true once a listing contained the run.
	listed bool
	// stopSeq is the number of the last call issued when the stop was confirmed.
	// Only a listing with a higher number shows the result of the stop.
	stopSeq int64
	// changedAt is when the phase last changed.
	changedAt time.Time
	// startUntil is the last time at which the backend server may carry out the start,
	// on its clock in milliseconds. The leader doesn't give up the run before.
	startUntil int64
}

// isSettled reports whether the run has been started and listed, so that nothing more is to
// be done about it but to recognize a late order for it.
func (r *run) isSettled() bool { return r.phase == accepted && r.listed && !r.inFlight }

// settledRun is a run with the time at which it was settled.
type settledRun struct {
	key berylreport.Key
	at  time.Time
}

// Outcome is the result of a call.
type Outcome struct {
	Call    berylexecutor.Call
	Seq     int64
	Listing berylexecutor.Listing
	Err     error
}

// IssuedCall is a call to make, with its number.
type IssuedCall struct {
	Call berylexecutor.Call
	Seq  int64
	// Timeout bounds the call.
	Timeout time.Duration
}

// Keeper is the state of one agent. It is not safe for concurrent use.
type Keeper struct {
	Limits Limits
	Node   string
	Addr   string
	Boot   int64
	// ServerAddr is the address of the backend server before its first heartbeat; empty
	// if it is unknown.
	ServerAddr string

	heartbeat Heartbeat
	// heartbeatAt is when heartbeat arrived.
	heartbeatAt time.Time
	known       bool
	// inherited is true if an earlier process of this agent may have sent starts to
	// this incarnation.
	inherited bool
	fence     int64
	// otherStartedAt is that of the newest incarnation that has replied before its first
	// heartbeat arrived; zero if none has.
	otherStartedAt int64
	epoch          int64
	// runs has all runs that are remembered. open has those of them that a call, a listing
	// or a report may still concern: all but the settled ones, which the backend server has
	// listed and no call is about.
	runs, open map[berylreport.Key]*run
	// settled are the settled runs in the order in which they were settled. A run that was
	// opened again is in it until its time has come.
	settled []settledRun
	listing berylexecutor.Listing
	// listedRuns are the runs of the listing.
	listedRuns map[berylreport.Key]bool
	listed     bool
	// pastEnds has the unacknowledged ends of the previous incarnation, as the
	// leader may not have received them.
	pastEnds berylreport.PastEnds
	// unverified is true after a call without an outcome, until a listing confirms
	// the known incarnation: the backend server may have restarted.
	unverified bool
	// unverifiedSeq is the number of the last call issued when unverified was set.
	unverifiedSeq int64
	// strays is true in a new incarnation until a listing has no runs. Runs found
	// there were started by calls meant for the previous incarnation.
	strays bool
	// listingSeq is the number of the listing call whose reply was used last, and
	// listingFrom that of the last call issued by then: the reply to a later call is newer.
	listingSeq, listingFrom int64
	// incarnationFrom is the number of the last call issued before the incarnation was
	// known. Replies to calls up to it don't tell about the incarnation.
	incarnationFrom int64
	lastSeq         int64
	// pollSeq is the number of the listing call that waits for a run to end; zero
	// if none is in flight.
	pollSeq int64
	// listings has the numbers of the listing calls in flight.
	listings map[int64]bool
	// relist requests a listing that does not wait.
	relist bool
	// nextPoll and nextRelist are the earliest times of the next listing call that waits and
	// of one that doesn't.
	nextPoll, nextRelist time.Time

	// clock, deadline and leaderContact are on the clock of the backend server in
	// milliseconds; clock was read at clockReadAt.
	clockReadAt time.Time
	clock       int64
	// deadline is the highest lease deadline sent.
	deadline int64
	// leaderContact is when the last report was sent that the leader answered.
	leaderContact int64
	// minBasis is the highest basis with which orders may still contain starts that the
	// leader has given up since, on the clock of the backend server.
	minBasis int64
	// failedCalls counts consecutive calls without a reply.
	failedCalls int
	// down is true while no process listens at the address of the backend server.
	down bool
	// downAt is when down was last set, and downSeq the number of the last call issued
	// by then.
	downAt  time.Time
	downSeq int64
	// downSince is when the first of the last listing calls was refused because no process
	// listens; zero if the last one was not.
	downSince time.Time
	// acked is the number up to which the leader has recorded ends.
	acked     int64
	reportSeq int64
	changed   bool
	lastReply time.Time
}

// New returns a keeper that knows no backend server yet. Boot is the time at
// which the process started, in Unix milliseconds, and is the first fence.
func New(node, addr string, boot int64, limits Limits) *Keeper {
	return &Keeper{
		Limits: limits, Node: node, Addr: addr, Boot: boot, fence: boot,
		runs: map[berylreport.Key]*run{}, open: map[berylreport.Key]*run{}, listings: map[int64]bool{},
	}
}

// Reportable reports whether this incarnation may be reported to the leader. The
// leader then considers the runs of the previous incarnation as ended, so no
// stray run may be left.
func (k *Keeper) Reportable(now time.Time) bool {
	return k.heartbeat.Incarnation.Instance != "" && !k.strays && !k.awaitsListing(now)
}

// awaitsListing reports whether a backend server whose process is gone may have sent a
// reply that has not arrived yet. It may list ends that have to count before the leader is
// told that nothing runs there.
func (k *Keeper) awaitsListing(now time.Time) bool {
	if !k.down || now.Sub(k.downAt) >= _lateReplyWindow {
		return false
	}
	for seq := range k.listings {
		if seq <= k.downSeq {
			return true
		}
	}
	return false
}

// Incarnation returns the known incarnation of the backend server.
func (k *Keeper) Incarnation() berylbook.Incarnation { return k.heartbeat.Incarnation }

// Epoch returns the highest leader epoch received.
func (k *Keeper) Epoch() int64 { return k.epoch }

// Heartbeat handles a heartbeat. It returns false if it belongs to an earlier
// incarnation.
func (k *Keeper) Heartbeat(now time.Time, b Heartbeat) bool {
	b.Incarnation.Node = k.Node
	same := b.Incarnation == k.heartbeat.Incarnation
	if same && b.Seq <= k.heartbeat.Seq {
		return true
	}
	if b.Incarnation.StartedAt < k.heartbeat.Incarnation.StartedAt {
		return false
	}
	if !same {
		k.inherited = !k.known && b.Seq > _firstHeartbeat
		k.resetIncarnation()
	}
	if b.Draining != k.heartbeat.Draining || !same {
		k.changed = true
	}
	k.heartbeat = b
	k.heartbeatAt = now
	if b.Clock > 0 && k.clock == 0 {
		k.setClock(now, b.Clock)
	}
	return true
}

// resetIncarnation discards the state of the previous incarnation. The higher
// fence makes the backend server refuse late starts meant for it.
func (k *Keeper) resetIncarnation() {
	if k.known {
		k.fence++
		k.strays = true
		k.pastEnds = berylreport.PastEnds{Incarnation: k.heartbeat.Incarnation, Ends: k.unackedEnds()}
	}
	k.known = true
	k.otherStartedAt = 0
	k.unverified = false
	clear(k.runs)
	clear(k.open)
	k.settled = nil
	clear(k.listings)
	k.listing, k.listedRuns = berylexecutor.Listing{}, nil
	k.listed = false
	k.incarnationFrom = k.lastSeq
	k.listingSeq, k.listingFrom = k.lastSeq, k.lastSeq
	k.pollSeq = 0
	k.clock, k.deadline, k.leaderContact, k.minBasis = 0, 0, 0, 0
	k.failedCalls, k.down = 0, false
	k.acked = 0
	k.nextPoll, k.nextRelist = time.Time{}, time.Time{}
	k.lastReply = time.Time{}
}

func (k *Keeper) setClock(now time.Time, clock int64) {
	k.clock = clock
	k.clockReadAt = now
}

// BackendClock estimates the clock of the backend server; zero if it is
// unknown.
func (k *Keeper) BackendClock(now time.Time) int64 {
	if k.clock == 0 {
		return 0
	}
	return k.clock + now.Sub(k.clockReadAt).Milliseconds()
}

func (k *Keeper) setPhase(now time.Time, r *run, p phase) {
	r.phase = p
	r.changedAt = now
	r.retryAt = now
	k.open[r.start.Key] = r
	if p != starting {
		r.forgetStart()
	}
	k.changed = true
}

// forgetStart deletes what only a start call needs. The run is not started again.
func (r *run) forgetStart() { r.start = berylreport.Start{Key: r.start.Key} }

// Answer handles the reply to a report on the given incarnation. Sent is the
// estimated clock of the backend server at the time at which the report was sent.
func (k *Keeper) Answer(a berylreport.Answer, incarnation berylbook.Incarnation, sent int64) {
	k.epoch = max(k.epoch, a.Epoch)
	if !a.FromLeader || a.Epoch < k.epoch || incarnation != k.heartbeat.Incarnation {
		return
	}
	k.leaderContact = max(k.leaderContact, sent)
	k.ack(a.Acked)
}

// DownPause is the pause between listing calls when no process listens at the address of the
// backend server, for as long as a late start may still come. The next incarnation refuses such
// starts from the first call that it gets, so the pause is shorter than others.
const DownPause = 50 * time.Millisecond

const (
	// _firstHeartbeat is the number of the first heartbeat of an incarnation.
	_firstHeartbeat = 1
	// _startValidity limits how late a start may be carried out. Starts that are
	// delivered late arrive two seconds or more after they were sent.
	_startValidity = 1800 * time.Millisecond
	// _callTimeout bounds a call to a process on the same VM.
	_callTimeout = 400 * time.Millisecond
	// _retryPause is the pause after a refused or failed call.
	_retryPause = 150 * time.Millisecond
	// _repeatPause is the pause before a call with an unknown outcome is repeated.
	_repeatPause = 20 * time.Millisecond
	// _lateCallWindow bounds how much later a call without an answer is carried out: seconds,
	// and a reserve.
	_lateCallWindow = 15 * time.Second
	// _lateReplyWindow is how long a reply that a process sent before its end may take to
	// arrive on the same VM.
	_lateReplyWindow = 100 * time.Millisecond
	// _stopPollPause is the pause between listings while a run is being stopped.
	_stopPollPause = 100 * time.Millisecond
	// _rowPause is the pause between listings for each row of the last one above _freeRows.
	// A row takes some microseconds to encode and to decode.
	_rowPause = 20 * time.Microsecond
	_freeRows = 100
	// _runRetention is how long a settled run is remembered, so that a late order
	// for it is not mistaken for a new one.
	_runRetention = 30 * time.Second
	// _unresponsiveAfter is the number of consecutive failed calls after which a
	// backend server gets no new work.
	_unresponsiveAfter = 2
	// _minClockRate is the slowest rate of a backend server's clock, relative to
	// the clock of the agent.
	_minClockRate = 0.97
	// _expiryMargin covers the time that a backend server takes to end a run whose
	// lease has expired.
	_expiryMargin = 300 * time.Millisecond
	// _fenceStep raises the fence, in milliseconds, above that of an earlier agent
	// process whose clock was ahead.
	_fenceStep = 10 * 60 * 1000
)
