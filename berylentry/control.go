package berylentry

import (
	"time"

	"berylglade/berylconfig"
	"berylglade/berylintent"
	"berylglade/beryljob"
	"berylglade/berylleader"
	"berylglade/berylmessage"
	"berylglade/berylrecord"
	"berylglade/beryltail"
)

// message is what the control actor handles.
type message interface {
	isMessage()
}

// beat is an agent's heartbeat.
type beat struct {
	beat  berylmessage.Beat
	reply func(*berylmessage.BeatReply)
}

// exchange is another process's offer of and request for a configuration.
type exchange struct {
	request berylmessage.ConfigRequest
	reply   func(*berylmessage.ConfigReply)
}

// adopt takes over a configuration that this entry fetched.
type adopt struct {
	config *berylconfig.Config
	reply  func()
}

// peek is another entry's question.
type peek struct {
	reply func(berylmessage.PeekReply)
}

// peeked has the answers to this entry's questions by address.
type peeked struct {
	began   time.Time
	replies map[string]berylmessage.PeekReply
}

// tick arrives several times a second.
type tick struct{}

// tailed is the result of a read of the log.
type tailed struct {
	stream string
	event  beryltail.Event
}

// awaitOffset is answered when an offset of a stream has been read.
type awaitOffset struct {
	stream string
	offset int64
	done   <-chan struct{}
	reply  func()
}

// watchChange is answered when a change of the configuration has been read.
type watchChange struct {
	id    string
	done  <-chan struct{}
	reply func(settledChange)
}

// settledChange says whether a change was accepted.
type settledChange struct {
	offset int64
	err    error
}

// lookUp asks for the valid intent of a key.
type lookUp struct {
	account string
	key     string
	reply   func(intentFound)
}

// intentFound is the valid intent of a key, if ok.
type intentFound struct {
	berylintent.Binding
	ok bool
	// caughtUp says whether the end of the stream was reached once.
	caughtUp bool
}

// makeIntent asks for the record that binds a key to a call.
type makeIntent struct {
	account string
	key     string
	sum     string
	call    string
	// prev is the key's call that has a tombstone; empty if the key is new.
	prev  string
	reply func(madeIntent)
}

// madeIntent is the record, if ok.
type madeIntent struct {
	record berylrecord.Record
	ok     bool
}

// findJob asks for the state of a job.
type findJob struct {
	id    string
	reply func(jobFound)
}

// jobFound is the state of a job, if ok.
type jobFound struct {
	state beryljob.State
	ok    bool
	// upto is the last offset of the stream that was read, fresh whether its
	// end was reached a short time ago.
	upto  int64
	fresh bool
}

// listJobs asks for all jobs of an account.
type listJobs struct {
	account string
	reply   func([]beryljob.State)
}

// drain asks to give an agent no new work.
type drain struct {
	agent string
	reply func(bool)
}

// leaderEvent is the result of an effect.
type leaderEvent struct {
	event berylleader.Event
}

// settled says that the outcome of a leader's append has been read, or that its
// time is over.
type settled struct {
	job string
}

// repeated says that the repeated records have been read back.
type repeated struct{}

// dumpState asks for the state.
type dumpState struct {
	reply func(State)
}

// claimed is the end of an attempt to append a claim or a renewal.
type claimed struct{}

// stopped asks to hand over the leadership; the reply has the term that this
// entry leads, or zero.
type stopped struct {
	reply func(int64)
}

func (beat) isMessage()        {}
func (exchange) isMessage()    {}
func (adopt) isMessage()       {}
func (peek) isMessage()        {}
func (peeked) isMessage()      {}
func (tick) isMessage()        {}
func (tailed) isMessage()      {}
func (awaitOffset) isMessage() {}
func (watchChange) isMessage() {}
func (lookUp) isMessage()      {}
func (makeIntent) isMessage()  {}
func (findJob) isMessage()     {}
func (listJobs) isMessage()    {}
func (drain) isMessage()       {}
func (leaderEvent) isMessage() {}
func (settled) isMessage()     {}
func (repeated) isMessage()    {}
func (dumpState) isMessage()   {}
func (claimed) isMessage()     {}
func (stopped) isMessage()     {}
