// Package beryldirector decides, for the one entry that leads, which task runs
// where.
//
// A [Director] is a state machine without input and output. The entry hands it
// events in the order in which they happen: records of the store's topic,
// reports of agents, outcomes of appends and the passing of time. It collects
// [Effect] values, which the entry carries out: appends to the topic, claims to
// lead, and orders to agents.
//
// Two rules keep tasks from running twice. A start is ordered only after the
// record of it is in the topic, and a task is given another run only when the
// last one is known to be over: its end was listed, the backend server confirmed
// that it never starts, the backend server was born again, or its lease must
// have run out.
package beryldirector

import (
	"maps"
	"slices"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylpolicy"
	"berylglade/berylstore"
	"berylglade/berylwork"
)

// Limits are the times that the director works with.
type Limits struct {
	// Lost is how long after the last contact nothing can run on a backend
	// server any more.
	Lost time.Duration
	// Takeover is how long a leader may be silent in the topic.
	Takeover time.Duration
	// Sure is how long after the start of its last successful append a leader
	// may take itself for the leader; below Takeover.
	Sure time.Duration
	// Kept is how long an ended job is shown.
	Kept time.Duration
}

// Self is what the entry tells others of itself.
type Self struct {
	Node string
	Boot int64
	Addr string
	// Cores is the processor time that the VM has; zero if it is not known.
	Cores float64
}

// Effect is something for the entry to do.
type Effect interface{ effect() }

// Persist asks for an append of the leader's records. One is outstanding at a
// time; its outcome comes back as Committed or Deposed.
type Persist struct {
	Epoch   int64
	Records []berylstore.Record
}

// Claim asks for an append that succeeds only if the topic ends at At.
type Claim struct {
	At    int64
	Claim berylbook.Claim
}

// Reload asks for the book to be read from the topic again, as it may hold
// changes that were never recorded.
type Reload struct{}

// Announce asks for all agents to be told that this entry leads.
type Announce struct {
	Epoch int64
}

// Probe asks whether the store turns just this entry away, which leads under
// Epoch. If so, Yield follows.
type Probe struct {
	Epoch int64
}

// Note is a line for the log: a decision and what it was made from.
type Note struct {
	Text string
	// Args are alternating names and values.
	Args []any
}

func (Persist) effect()  {}
func (Claim) effect()    {}
func (Reload) effect()   {}
func (Announce) effect() {}
func (Probe) effect()    {}
func (Note) effect()     {}

// Director is the state machine. It has one owner.
type Director struct {
	Limits Limits
	Self   Self
	Book   berylbook.Book
	Policy *berylpolicy.Policy

	// stale means that the book may hold changes that were never recorded.
	stale bool
	// retired means that the process stops and never claims again.
	retired bool
	epoch   int64
	members map[string]*member
	effects []Effect

	// Jobs whose state differs from the topic, and those in the outstanding
	// append.
	dirty map[string]bool
	// entered are clients' records that the next append takes along.
	entered  []berylstore.Record
	flight   map[string]bool
	flying   bool
	flewAt   time.Time
	sureAt   time.Time
	leadAt   time.Time
	heardAt  time.Time
	readAt   time.Time
	triedAt  time.Time
	probedAt time.Time
	// yielded is the highest epoch whose leader has asked this entry to claim.
	yielded int64
	end     int64
	// movedAt is when a claim was found to be too late.
	movedAt  time.Time
	judgedAt time.Time

	// version changes with each change of a task; index belongs to one version.
	version int64
	index   *index
	// placedAt is when work was placed last, and later is true if a look was put
	// off since.
	placedAt time.Time
	later    bool
	// reserved counts the units for which room was kept in the present look.
	reserved int
	// kept has the room that units wait for, by unit. victim and ending are made
	// when the present look needs them first.
	kept map[string]kept
	// blamed has the nodes on which runs of a unit failed, by unit.
	blamed map[string]map[string]bool
	// promised is when runs were stopped for a unit last.
	promised map[string]time.Time
	victim   map[string][]berylfit.Victim
	ending   map[string][]berylfit.Victim
	// now is the time of the event that is being handled.
	now     time.Time
	ordered map[orderKey]time.Time
	ready   map[string]time.Time
	speed   map[string]float64
	// best has the shortest run time that a task's rate has shown, rescued how
	// often it was restarted for being slow.
	best    map[berylwork.Ref]time.Duration
	rescued map[berylwork.Ref]int
}

// New returns a director that does not lead.
func New(self Self, limits Limits) *Director {
	return &Director{
		Self:     self,
		Limits:   limits,
		members:  map[string]*member{},
		dirty:    map[string]bool{},
		flight:   map[string]bool{},
		ordered:  map[orderKey]time.Time{},
		ready:    map[string]time.Time{},
		speed:    map[string]float64{},
		best:     map[berylwork.Ref]time.Duration{},
		rescued:  map[berylwork.Ref]int{},
		kept:     map[string]kept{},
		promised: map[string]time.Time{},
		blamed:   map[string]map[string]bool{},
	}
}

// Leading reports whether this entry leads as far as it knows.
func (d *Director) Leading() bool { return d.epoch != 0 }

// Effects returns what is to be done and forgets it.
func (d *Director) Effects() []Effect {
	out := d.effects
	d.effects = nil
	return out
}

func (d *Director) note(text string, args ...any) {
	d.effects = append(d.effects, Note{Text: text, Args: args})
}

// Read folds records of the topic in. End is the topic's end at the reply to the
// read; an empty read tells that nothing has changed.
func (d *Director) Read(now time.Time, records []berylstore.Record, end int64) {
	d.readAt = now
	d.end = end
	if len(records) > 0 {
		d.version++
	}
	for _, r := range records {
		if d.Leading() && berylbook.IsProgress(r) {
			// Only the leader writes progress and it has its own already. What
			// an earlier one wrote is older than the book.
			continue
		}
		before := d.Book.Claim
		id := d.Book.Apply(r)
		if d.Book.Claim != before || d.fromLeader(r) {
			d.heardAt = now
		}
		if d.Book.Claim != before {
			d.claimChanged(now)
		}
		if id != "" {
			d.touched(now, id)
		}
	}
}

// Enter takes a client's record, which the next append takes to the topic
// together with what is decided on it now. It returns false if the record has to
// be appended by somebody else. While the store is slow it handles one append at a
// time, so that a record of its own and the start after it would wait twice.
func (d *Director) Enter(now time.Time, r berylstore.Record) bool {
	if !d.sure(now) {
		return false
	}
	d.entered = append(d.entered, r)
	d.version++
	if id := d.Book.Apply(r); id != "" {
		d.touched(now, id)
	}
	return true
}

// touched reacts to a change of a job that came from the topic.
func (d *Director) touched(now time.Time, id string) {
	j := d.Book.Jobs[id]
	if j == nil {
		delete(d.dirty, id)
		return
	}
	if d.Leading() && j.CancelledAt != 0 && !j.State.Final() {
		d.stopJob(j, "cancelled")
		d.settle(now, j)
	}
}

// Committed tells that the outstanding append is in the topic.
func (d *Director) Committed(now time.Time) {
	d.flying = false
	d.sureAt = d.flewAt
	clear(d.flight)
	d.flush(now)
}

// Deposed tells that another entry has claimed to lead.
func (d *Director) Deposed() {
	d.note("deposed", "epoch", d.epoch, "claim", d.Book.Claim.Epoch, "leader", d.Book.Claim.Node)
	d.epoch = 0
	d.stale = true
	d.flying = false
	d.entered = nil
	clear(d.dirty)
	clear(d.flight)
	clear(d.ordered)
	clear(d.best)
	clear(d.rescued)
	clear(d.blamed)
	clear(d.members)
	d.effects = append(d.effects, Reload{})
}

// Restore replaces the book with one read from the topic.
func (d *Director) Restore(now time.Time, book berylbook.Book, end int64) {
	d.Book = book
	d.version++
	d.stale = false
	d.end = end
	d.readAt = now
	d.heardAt = now
}

func (d *Director) mark(id string) {
	d.dirty[id] = true
	d.version++
}

// clean reports whether the topic has all that is known of the job.
func (d *Director) clean(id string) bool { return !d.dirty[id] && !d.flight[id] }

// flush appends the changed jobs, or renews the claim, unless an append is
// outstanding.
func (d *Director) flush(now time.Time) {
	if !d.Leading() || d.flying {
		return
	}
	renew := now.Sub(d.flewAt) > _renew
	if len(d.dirty) == 0 && len(d.entered) == 0 && !renew {
		return
	}
	records := d.entered
	d.entered = nil
	for _, id := range slices.Sorted(maps.Keys(d.dirty)) {
		j := d.Book.Jobs[id]
		if j == nil {
			continue
		}
		r, err := j.Record(d.epoch)
		if err != nil {
			d.note("progress can't be encoded", "job", id, "err", err)
			continue
		}
		records = append(records, r)
		d.flight[id] = true
	}
	clear(d.dirty)
	if renew {
		records = append(records, d.renewal()...)
		records = append(records, d.expired(now)...)
	}
	d.flying = true
	d.flewAt = now
	d.effects = append(d.effects, Persist{Epoch: d.epoch, Records: records})
}

// expired returns records that remove jobs which ended long ago.
func (d *Director) expired(now time.Time) []berylstore.Record {
	var records []berylstore.Record
	limit := now.Add(-d.Limits.Kept).UnixMilli()
	for _, j := range d.Book.Sorted() {
		id := j.Work.ID
		if j.State.Final() && j.EndedAt < limit && !j.Active() {
			records = append(records, berylbook.Tombstones(id)...)
		}
		if len(records) > _removals {
			break
		}
	}
	return records
}

// Later reports whether a look at the waiting work was put off, so that Step should
// be called again soon.
func (d *Director) Later() bool { return d.later }

// Step lets time pass: claims, deadlines, placement, and the records of all
// that has changed.
func (d *Director) Step(now time.Time) {
	if !d.Leading() {
		d.campaign(now)
		return
	}
	d.now = now
	if now.Sub(d.placedAt) < _placeEvery {
		d.later = true
		d.flush(now)
		return
	}
	d.placedAt = now
	d.later = false
	d.probe(now)
	d.expire(now)
	if now.Sub(d.judgedAt) >= _judgeEvery {
		d.judgedAt = now
		d.judge(now)
		d.rescue(now)
	}
	d.place(now)
	d.flush(now)
}

const (
	// _renew is how often an idle leader appends; Takeover covers several.
	_renew = 600 * time.Millisecond
	// _placeEvery is the least time between two looks at the waiting work, which
	// answers many events at once when reports of many agents come.
	_placeEvery = 20 * time.Millisecond
	// _judgeEvery is the pause between two looks at the progress of all runs.
	_judgeEvery = 250 * time.Millisecond
	// _removals bounds the records of ended jobs removed by one append.
	_removals = 300
)
