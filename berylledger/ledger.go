// Package berylledger records which calls an agent incarnation (one run of an
// agent process) has received, so that it runs none of them twice and can
// return their outcomes later.
//
// The owner calls [Ledger.Admit] when a call arrives, [Ledger.Begin]
// immediately before it forwards the call, and one of [Ledger.Finish],
// [Ledger.Fail] and [Ledger.Refuse] with the outcome. Only a successful Begin
// permits a call to run, and it succeeds at most once for an id. An id that was
// rejected before it began becomes a tombstone and never begins. The owner
// serializes all method calls.
package berylledger

import (
	"slices"
	"time"

	"berylglade/berylanswer"
	"berylglade/berylerror"
	"berylglade/berylid"
	"berylglade/berylsize"
)

const (
	// EpochLength is the duration of an epoch by the agent's clock.
	EpochLength = 5 * time.Minute
	// MaxEpochCalls is the number of ids after which an epoch ends early. The
	// ids of two epochs take about 12 MB, a fifth of an agent's memory.
	MaxEpochCalls = 25_000
	// AnswerLimit is the default limit on the total size of all stored answers.
	AnswerLimit = 16 * berylsize.MB
)

// Phase is the phase of a call on this agent.
type Phase uint8

const (
	// Admitted means that the id was new and the call now waits. Only the
	// caller of Admit that receives this phase may proceed with the call.
	Admitted Phase = iota + 1
	// Waiting means that the call was admitted before and has not begun.
	Waiting
	// Running means that the call may be at the backend server.
	Running
	// Done means that the record contains the answer or the error.
	Done
	// Evicted means that the call ran and its answer was dropped.
	Evicted
	// Tombstone means that the call did not run and never will.
	Tombstone
)

// Record is what the ledger knows about a call.
type Record struct {
	Phase Phase
	// Answer is set in phase Done if Err is nil.
	Answer berylanswer.Answer
	// Err is set in phase Done if the call ran, or may have run, and no answer
	// is available.
	Err error
}

// Ledger is the record of calls of one agent incarnation.
type Ledger struct {
	agent       string
	incarnation string
	answerLimit berylsize.Size

	epoch      int64
	epochStart time.Time
	entries    map[int64]map[string]*entry
	// answered contains the entries with answers, oldest first.
	answered    []*entry
	answerBytes berylsize.Size
}

type entry struct {
	account string
	record  Record
}

// New returns an empty ledger. An answer limit of zero means AnswerLimit.
func New(agent, incarnation string, limit berylsize.Size, now time.Time) *Ledger {
	if limit == 0 {
		limit = AnswerLimit
	}
	return &Ledger{
		agent:       agent,
		incarnation: incarnation,
		answerLimit: limit,
		epoch:       1,
		epochStart:  now,
		entries:     map[int64]map[string]*entry{1: {}},
	}
}

// Epoch starts a new epoch if the current one has ended and returns the epoch
// for new ids.
func (l *Ledger) Epoch(now time.Time) int64 {
	passed := int64(now.Sub(l.epochStart) / EpochLength)
	if passed == 0 && len(l.entries[l.epoch]) >= MaxEpochCalls {
		passed = 1
	}
	if passed <= 0 {
		return l.epoch
	}
	l.epoch += passed
	l.epochStart = now
	for _, epoch := range []int64{l.epoch - 1, l.epoch} {
		if l.entries[epoch] == nil {
			l.entries[epoch] = map[string]*entry{}
		}
	}
	for epoch, entries := range l.entries {
		if epoch < l.epoch-1 {
			l.dropEpoch(epoch, entries)
		}
	}
	l.answered = slices.DeleteFunc(l.answered, func(e *entry) bool { return e.record.Phase != Done })
	return l.epoch
}

// dropEpoch forgets an epoch except for the calls that wait or run.
func (l *Ledger) dropEpoch(epoch int64, entries map[string]*entry) {
	for unique, e := range entries {
		if e.record.Phase == Running || e.record.Phase == Waiting {
			continue
		}
		l.evict(e)
		delete(entries, unique)
	}
	if len(entries) == 0 {
		delete(l.entries, epoch)
	}
}

// Admit records a new call, or returns the record of a known one. An error of
// kind Unknown means that this incarnation cannot tell whether the call ran
// before, because the id names another incarnation or a forgotten epoch. The
// call must not run after an error.
func (l *Ledger) Admit(now time.Time, id berylid.ID, account string) (Record, error) {
	e, err := l.find(now, id, account)
	if err != nil {
		return Record{}, err
	}
	if e != nil {
		return e.record, nil
	}
	l.entries[id.Epoch][id.Unique] = &entry{account: account, record: Record{Phase: Waiting}}
	return Record{Phase: Admitted}, nil
}

// Begin permits a waiting call to run. It returns false if the call is a
// tombstone or has already begun.
func (l *Ledger) Begin(id berylid.ID) bool {
	e := l.entries[id.Epoch][id.Unique]
	if e == nil || e.record.Phase != Waiting {
		return false
	}
	e.record.Phase = Running
	return true
}

// Refuse makes a call a tombstone. The owner must only use it if the call was
// certainly not sent to the backend server.
func (l *Ledger) Refuse(id berylid.ID) {
	e := l.entries[id.Epoch][id.Unique]
	if e != nil && (e.record.Phase == Waiting || e.record.Phase == Running) {
		e.record = Record{Phase: Tombstone}
	}
}

// Finish records the answer of a running call and evicts the oldest answers
// while their total size exceeds the limit.
func (l *Ledger) Finish(id berylid.ID, answer berylanswer.Answer) {
	e := l.entries[id.Epoch][id.Unique]
	if e == nil || e.record.Phase != Running {
		return
	}
	e.record = Record{Phase: Done, Answer: answer}
	l.answered = append(l.answered, e)
	l.answerBytes += berylsize.Size(len(answer.Body))
	for l.answerBytes > l.answerLimit {
		l.evict(l.answered[0])
		l.answered = l.answered[1:]
	}
}

// evict drops the answer of an entry.
func (l *Ledger) evict(e *entry) {
	if e.record.Phase != Done || e.record.Err != nil {
		return
	}
	l.answerBytes -= berylsize.Size(len(e.record.Answer.Body))
	e.record = Record{Phase: Evicted}
}

// Fail records that a running call ended without an answer.
func (l *Ledger) Fail(id berylid.ID, err error) {
	e := l.entries[id.Epoch][id.Unique]
	if e != nil && e.record.Phase == Running {
		e.record = Record{Phase: Done, Err: err}
	}
}

// Tombstone ensures that a call that has not begun never runs. It returns false
// if the call has begun.
func (l *Ledger) Tombstone(now time.Time, id berylid.ID, account string) (bool, error) {
	e, err := l.find(now, id, account)
	if err != nil {
		return false, err
	}
	if e == nil {
		l.entries[id.Epoch][id.Unique] = &entry{account: account, record: Record{Phase: Tombstone}}
		return true, nil
	}
	if e.record.Phase == Waiting {
		e.record = Record{Phase: Tombstone}
	}
	return e.record.Phase == Tombstone, nil
}

// Find returns the record of a call. An error of kind Missing means that the
// call is not known, or that it belongs to another client account.
func (l *Ledger) Find(now time.Time, id berylid.ID, account string) (Record, error) {
	e, err := l.find(now, id, account)
	if err != nil {
		return Record{}, err
	}
	if e == nil {
		return Record{}, missing(id)
	}
	return e.record, nil
}

func missing(id berylid.ID) error {
	return berylerror.Missing.Errorf("no call %s of this client account", id)
}

// find returns the entry of a call, or nil if the id is new and may be used.
func (l *Ledger) find(now time.Time, id berylid.ID, account string) (*entry, error) {
	epoch := l.Epoch(now)
	if id.Agent != l.agent || id.Incarnation != l.incarnation {
		return nil, berylerror.Unknown.Errorf("call %s is not for incarnation %s of agent %s", id, l.incarnation, l.agent)
	}
	if id.Epoch > epoch {
		return nil, berylerror.Invalid.Errorf("call %s has epoch %d, which is later than the current epoch %d", id, id.Epoch, epoch)
	}
	e := l.entries[id.Epoch][id.Unique]
	if e != nil && e.account != account {
		return nil, missing(id)
	}
	if e == nil && id.Epoch < epoch-1 {
		return nil, berylerror.Unknown.Errorf("call %s has epoch %d, which is no longer recorded in epoch %d", id, id.Epoch, epoch)
	}
	return e, nil
}
