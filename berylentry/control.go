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
type heartbeat struct {
	heartbeat berylmessage.Beat
	reply     func(*berylmessage.BeatReply)
}

// exchange is another process's offer of and request for a configuration.
type configExchange struct {
	request berylmessage.ConfigRequest
	reply   func(*berylmessage.ConfigReply)
}

// adopt takes over a configuration that this entry fetched.
type adoptConfig struct {
	config *berylconfig.Config
	reply  func()
}

// peek is another entry's question.
type peerQuery struct {
	reply func(berylmessage.PeekReply)
}

// peeked has the answers to this entry's questions by address.
type peerReplies struct {
	sentAt  time.Time
	replies map[string]berylmessage.PeekReply
}

// tick arrives several times a second.
type tick struct{}

// tailed is the result of a read of the log.
type tailEvent struct {
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
	reply func(changeResult)
}

// settledChange says whether a change was accepted.
type changeResult struct {
	offset int64
	err    error
}

// lookUp asks for the valid intent of a key.
type findIntent struct {
	account string
	key     string
	reply   func(intentResult)
}

// intentFound is the valid intent of a key, if ok.
type intentResult struct {
	berylintent.Found
	ok bool
	// caughtUp says whether the end of the stream was reached once.
	caughtUp bool
}

// makeIntent asks for the record that binds a key to a call.
type buildIntent struct {
	account string
	key     string
	sum     string
	callID  string
	// prev is the key's call that has a tombstone; empty if the key is new.
	prev  string
	reply func(buildIntentResult)
}

// madeIntent is the record, if ok.
type buildIntentResult struct {
	record berylrecord.Record
	ok     bool
}

// findJob asks for the state of a job.
type findJob struct {
	id    string
	reply func(jobResult)
}

// jobFound is the state of a job, if ok.
type jobResult struct {
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
type drainAgent struct {
	agent string
	reply func(bool)
}

// leaderEvent is the result of an effect.
type leaderEvent struct {
	event berylleader.Event
}

// settled says that the outcome of a leader's append has been read, or that its
// time is over.
type appendFinished struct {
	job string
}

// repeated says that the repeated records have been read back.
type refreshFinished struct{}

// dumpState asks for the state.
type dumpState struct {
	reply func(State)
}

// claimed is the end of an attempt to append a claim or a renewal.
type termAppendFinished struct{}

// stopped asks to hand over the leadership; the reply has the term that this
// entry leads, or zero.
type stopLeading struct {
	reply func(int64)
}

func (heartbeat) isMessage()          {}
func (configExchange) isMessage()     {}
func (adoptConfig) isMessage()        {}
func (peerQuery) isMessage()          {}
func (peerReplies) isMessage()        {}
func (tick) isMessage()               {}
func (tailEvent) isMessage()          {}
func (awaitOffset) isMessage()        {}
func (watchChange) isMessage()        {}
func (findIntent) isMessage()         {}
func (buildIntent) isMessage()        {}
func (findJob) isMessage()            {}
func (listJobs) isMessage()           {}
func (drainAgent) isMessage()         {}
func (leaderEvent) isMessage()        {}
func (appendFinished) isMessage()     {}
func (refreshFinished) isMessage()    {}
func (dumpState) isMessage()          {}
func (termAppendFinished) isMessage() {}
func (stopLeading) isMessage()        {}
