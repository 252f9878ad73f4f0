// Package beryldirector is the scheduler that runs in the leading entry: it
// decides which task runs on which backend server.
//
// A [Director] is a state machine that does no I/O. The entry passes it events in
// the order in which they occur: records of the store's topic, reports of agents,
// outcomes of appends and the passing of time. The Director returns [Effect]
// values, which the entry carries out (appends to the topic, claims of leadership),
// and the orders to send to agents.
//
// Two rules prevent a task from running twice. A start is sent only after its
// record is in the topic. A task gets a new run only after the previous one is
// known to have ended. This is known when the backend server listed its end, which
// the agent reports; when the backend server confirmed that it will never start; when
// the backend server restarted; or when the lease of the backend server has expired,
// which the agent reports or the Director computes.
package beryldirector

import (
	"time"

	"berylglade/berylbook"
	"berylglade/berylbreaker"
	"berylglade/berylcooldown"
	"berylglade/berylestimator"
	"berylglade/berylfit"
	"berylglade/berylheadroom"
	"berylglade/beryloutlook"
	"berylglade/berylpolicy"
	"berylglade/berylspeed"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Self identifies this entry to others.
type Self struct {
	Node string
	Boot int64
	Addr string
	// Cores is the number of CPU cores of the VM; zero if unknown.
	Cores float64
}

// Effect is an action that the entry carries out for the Director.
type Effect interface{ effect() }

// Persist asks for an append of the leader's records. At most one is in flight;
// its outcome is passed back with [Director.Committed] or [Director.Deposed].
type Persist struct {
	Epoch   int64
	Records []berylstore.Record
	// Enqueued is how many of the records that were enqueued are among them, the oldest
	// first.
	Enqueued int
}

// Claim asks for an append of a leadership claim that succeeds only if the topic
// ends at At.
type Claim struct {
	At    int64
	Claim berylbook.Claim
}

// Reload asks for the Book to be read from the topic again, because it may hold
// changes that were never recorded. The entry passes the Book that it read to
// [Director.Restore].
type Reload struct{}

// Announce asks the entry to tell all agents that it leads under Epoch.
type Announce struct {
	Epoch int64
}

// Probe asks the entry, which leads under Epoch, to find out whether a peer reaches
// the store while this entry does not. If so, it calls [Director.Yield].
type Probe struct {
	Epoch int64
}

// CheckLeader asks the entry to find out whether the leader of Epoch at Addr still
// leads, as it has written nothing for some time. If not, or if it does not answer, the
// entry calls [Director.LeaderUnreachable].
type CheckLeader struct {
	Epoch int64
	Addr  string
}

// Note is a log line about a decision. Text is also a value of a metric label.
type Note struct {
	Text string
	// Args are alternating field names and values.
	Args []any
}

func (Persist) effect()     {}
func (Claim) effect()       {}
func (Reload) effect()      {}
func (Announce) effect()    {}
func (Probe) effect()       {}
func (CheckLeader) effect() {}
func (Note) effect()        {}

// Director is the state machine. It is not safe for concurrent use.
type Director struct {
	Limits Limits
	Self   Self
	Book   berylbook.Book
	Policy *berylpolicy.Policy

	// stale is true while Book may hold changes that were never recorded.
	stale bool
	// shuttingDown is true once the process is stopping and must not claim
	// leadership again.
	shuttingDown bool
	// epoch is the epoch under which this entry leads; zero if it does not lead.
	epoch int64
	// agents is keyed by node.
	agents  map[string]*agentState
	effects []Effect

	// dirty has the jobs whose state differs from the topic, and inFlight the jobs
	// in the append in flight.
	dirty    map[string]bool
	inFlight map[string]bool
	// checkpointed has the jobs of which only checkpoints differ from the topic. They
	// do not cause an append before the next renewal of the claim.
	checkpointed map[string]bool
	// recorded is the progress of each job as the topic has it, or will have after
	// the append in flight.
	recorded map[string]*berylbook.Recorded
	// enqueued are clients' records that are not in an append yet, in the form in which
	// the store takes each.
	enqueued [][]berylstore.Record
	// unrecorded has the jobs whose submission is in enqueued.
	unrecorded map[string]bool
	// maxAppend is the size of an append in bytes: that of the store, or less if the store
	// has refused one.
	maxAppend int
	// appending is true while an append is in flight, and appendedAt is when the
	// latest append was started.
	appending  bool
	appendedAt time.Time
	// leaseFrom is the start of the leader lease: when the last successful append
	// or claim was started.
	leaseFrom time.Time
	electedAt time.Time
	// earlierLeaseEnd is when the leader lease of every earlier leader has ended: until
	// then it may have extended leases of backend servers. It is not before electedAt.
	earlierLeaseEnd time.Time
	// earlierLeaderSeenAt is when the last record of another leader was read, or when
	// the Book was restored.
	earlierLeaderSeenAt time.Time
	// leaderSeenAt is when the last record of the current leader was read, or when
	// the Book was restored.
	leaderSeenAt time.Time
	// readAt is the time of the last successful read of the topic, and readSince that of
	// the first one since reads failed for longer than _maxReadAge.
	readAt    time.Time
	readSince time.Time
	// checkedAt is when the leader was last checked. failedChecks are the checks that
	// have failed since it last wrote a record.
	checkedAt    time.Time
	failedChecks int
	// claimedAt is when this entry last claimed leadership; zero if the claim may
	// be repeated at once.
	claimedAt time.Time
	probedAt  time.Time
	// yieldedEpoch is the highest epoch whose leader has asked this entry to claim
	// leadership.
	yieldedEpoch int64
	// topicEnd is the offset up to which the topic has been read.
	topicEnd int64
	// minClaimEnd is the least topicEnd for a claim: beyond that of the last claim
	// that was rejected because the topic had grown.
	minClaimEnd   int64
	slowCheckedAt time.Time

	// index is nil if it has to be built again from the Book.
	index *index
	// medianRunTimes has the median run time of each step, as of the current placement
	// pass; zero if there are too few running tasks.
	medianRunTimes map[stepKey]time.Duration
	// placedAt is the time of the last placement pass, and placementDeferred is
	// true if a pass was deferred since then.
	placedAt          time.Time
	placementDeferred bool
	// ordersAt and ordersDeferred are the same for the computation of orders.
	ordersAt       time.Time
	ordersDeferred bool
	reserved
	// failedOn has, by unit, the nodes on which its runs failed.
	failedOn map[string]map[string]bool
	// preempted has what each job has lost by preemptions that this leader ordered.
	preempted map[string]preempted
	// breakers are those of the backend servers.
	breakers berylbreaker.Table
	// noChoice has the steps that don't fit on servers with closed breakers, as of the
	// current placement pass.
	noChoice map[stepKey]bool
	// preemptedFor is when runs were last preempted for each unit.
	preemptedFor map[string]time.Time
	// headrooms has the learned demand of urgent work, by service. Spare is how many hosts
	// are free beyond it, and pendingUrgent how many the urgent units need that found no
	// capacity, both as of the current placement pass.
	headrooms            map[string]*berylheadroom.Headroom
	spare, pendingUrgent map[string]float64
	// cooldown has the preemptions of each unit.
	cooldown berylcooldown.Cooldown
	// victims are by node. They are computed at most once in a placement pass, on first use.
	victims map[string][]berylfit.Victim
	// urgentNeed is how many accelerators the urgent jobs of each client account need, as
	// of the current placement pass. It is computed on first use.
	urgentNeed map[string]int
	// now is the time of the event that is being handled.
	now time.Time
	// orderedAt is when the confirmation timeout of each start began.
	orderedAt map[runKey]time.Time
	// readySteps is the number of steps that were ready in the last placement pass.
	readySteps int
	// nextSteps has, for jobs with very many steps, where the next placement pass goes on.
	nextSteps map[*berylbook.Job]int
	// largePaths has the expected paths of jobs with many steps for some time.
	largePaths map[*berylwork.Work]knownPaths
	// waiting has the units that are ready to start, by their first task.
	waiting map[berylwork.Ref]waiting
	// runTimes are learned from finished runs. They are kept when this entry is deposed.
	runTimes berylestimator.Estimator
	// unsavedRuns is the number of ends since they were last recorded, at
	// runTimesSavedAt and under savedEpoch.
	unsavedRuns     int
	runTimesSavedAt time.Time
	savedEpoch      int64
	// speeds has the speeds of the backend servers. It is kept when the leadership ends.
	speeds berylspeed.Table
	// notedSpeeds has the speeds that were last logged, by node, and learnedAt is when
	// they were last compared.
	notedSpeeds map[string]float64
	learnedAt   time.Time
	// outlook is the newest summary of the load, which was made at outlookAt.
	outlook   *beryloutlook.Outlook
	outlookAt time.Time
	// bestRunTime is the shortest run time that a task's rate has projected, and
	// restarts counts how often a unit was restarted for being slow.
	bestRunTime map[berylwork.Ref]time.Duration
	restarts    map[berylwork.Ref]int
}

// New returns a Director that does not lead.
func New(self Self, limits Limits) *Director {
	if limits.Store == (berylstore.Limits{}) {
		limits.Store = berylstore.DefaultLimits()
	}
	return &Director{
		Self:           self,
		Limits:         limits,
		maxAppend:      limits.Store.Call,
		agents:         map[string]*agentState{},
		dirty:          map[string]bool{},
		inFlight:       map[string]bool{},
		checkpointed:   map[string]bool{},
		recorded:       map[string]*berylbook.Recorded{},
		medianRunTimes: map[stepKey]time.Duration{},
		orderedAt:      map[runKey]time.Time{},
		unrecorded:     map[string]bool{},
		waiting:        map[berylwork.Ref]waiting{},
		bestRunTime:    map[berylwork.Ref]time.Duration{},
		restarts:       map[berylwork.Ref]int{},
		preemptedFor:   map[string]time.Time{},
		reserved:       newReserved(),
		failedOn:       map[string]map[string]bool{},
		preempted:      map[string]preempted{},
		noChoice:       map[stepKey]bool{},
		nextSteps:      map[*berylbook.Job]int{},
		largePaths:     map[*berylwork.Work]knownPaths{},
		headrooms:      map[string]*berylheadroom.Headroom{},
		spare:          map[string]float64{},
		pendingUrgent:  map[string]float64{},
	}
}

// Leading reports whether this entry is the leader as far as it knows.
func (d *Director) Leading() bool { return d.epoch != 0 }

// Effects returns the collected effects and clears them.
func (d *Director) Effects() []Effect {
	out := d.effects
	d.effects = nil
	return out
}

func (d *Director) note(text string, args ...any) {
	d.effects = append(d.effects, Note{Text: text, Args: args})
}

// Committed handles the success of the append in flight.
func (d *Director) Committed(now time.Time) {
	d.appending = false
	d.leaseFrom = d.appendedAt
	d.ordersAt = time.Time{}
	clear(d.inFlight)
	d.flush(now)
}

// Refused handles an append that the store refuses because of its content. The leadership
// ends, as the Book has changes that can't be recorded, and later appends are smaller.
func (d *Director) Refused() {
	d.maxAppend = max(d.maxAppend/2, _minAppend)
	d.note("append refused for its content", "epoch", d.epoch, "max", d.maxAppend)
	d.Deposed()
}

// Deposed ends the leadership of this entry and requests a reload of the Book.
func (d *Director) Deposed() {
	d.note("deposed", "epoch", d.epoch, "claim", d.Book.Claim.Epoch, "leader", d.Book.Claim.Node)
	d.epoch = 0
	d.stale = true
	d.appending = false
	d.enqueued = nil
	clear(d.unrecorded)
	clear(d.dirty)
	clear(d.inFlight)
	clear(d.checkpointed)
	clear(d.recorded)
	clear(d.orderedAt)
	clear(d.bestRunTime)
	clear(d.restarts)
	clear(d.failedOn)
	clear(d.preempted)
	clear(d.nextSteps)
	clear(d.largePaths)
	d.reserved = newReserved()
	d.cooldown = berylcooldown.Cooldown{}
	d.breakers = berylbreaker.Table{}
	clear(d.agents)
	d.effects = append(d.effects, Reload{})
}

func (d *Director) markDirty(id string) {
	d.dirty[id] = true
}

// isRecorded reports whether the topic has the current state of the job.
func (d *Director) isRecorded(id string) bool {
	return !d.dirty[id] && !d.inFlight[id] && !d.unrecorded[id]
}

// Deferred reports whether a placement pass or orders of the leader were deferred, so
// that Step and Orders should be called again soon.
func (d *Director) Deferred() bool {
	return d.Leading() && (d.placementDeferred || d.ordersDeferred)
}

// Step performs what depends on the time: claims of leadership, timeouts, placement
// and the append of changes.
func (d *Director) Step(now time.Time) {
	if !d.Leading() {
		d.campaign(now)
		return
	}
	d.now = now
	if now.Sub(d.placedAt) < d.placeInterval() {
		d.placementDeferred = true
		d.flush(now)
		return
	}
	d.placedAt = now
	d.placementDeferred = false
	clear(d.medianRunTimes)
	d.probe(now)
	d.expireRuns(now)
	d.moveFromLeaving(now)
	if now.Sub(d.slowCheckedAt) >= _slowCheckInterval {
		d.slowCheckedAt = now
		d.forgetLargeJobs(now)
		d.forgetStops()
		d.learnSpeeds(now)
		d.closeBreakers()
		d.markSlowServers(now)
		d.restartSlowUnits(now)
	}
	d.place(now)
	d.flush(now)
}

// placeInterval returns the minimum time between two placement passes.
func (d *Director) placeInterval() time.Duration {
	return min(_placeInterval+time.Duration(len(d.agents))*_placeIntervalPerAgent, _maxPlaceInterval)
}

const (
	// _placeInterval is the minimum time between two placement passes, so that one
	// pass handles the reports of many agents. The time of a pass grows with the number
	// of agents, and so does the interval, by _placeIntervalPerAgent up to
	// _maxPlaceInterval.
	_placeInterval         = 20 * time.Millisecond
	_placeIntervalPerAgent = 100 * time.Microsecond
	_maxPlaceInterval      = 100 * time.Millisecond
	// _slowCheckInterval is the minimum time between two checks for slow runs.
	_slowCheckInterval = 250 * time.Millisecond
)
