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

// message is an input of the control actor.
type message interface {
	isMessage()
}

// heartbeat carries the heartbeat of an agent.
type heartbeat struct {
	heartbeat berylmessage.Heartbeat
	reply     func(*berylmessage.HeartbeatReply)
}

// configExchange offers another process's configuration and requests a newer
// one.
type configExchange struct {
	request berylmessage.ConfigRequest
	reply   func(*berylmessage.ConfigReply)
}

// adoptConfig carries a configuration that this entry has fetched from a peer.
type adoptConfig struct {
	config *berylconfig.Config
	reply  func()
}

// peerQuery is another entry's query for this entry's view of the log.
type peerQuery struct {
	reply func(berylmessage.PeerStatusReply)
}

// peerReplies has the replies to this entry's queries, by peer address.
type peerReplies struct {
	sentAt  time.Time
	replies map[string]berylmessage.PeerStatusReply
}

// tick arrives several times a second.
type tick struct{}

// tailEvent carries the result of a read of the log.
type tailEvent struct {
	stream string
	event  beryltail.Event
}

// awaitOffset is answered once the stream has been read up to an offset.
type awaitOffset struct {
	stream string
	offset int64
	done   <-chan struct{}
	reply  func()
}

// watchChange is answered once a configuration change has been read back.
type watchChange struct {
	id    string
	done  <-chan struct{}
	reply func(changeResult)
}

// changeResult is the offset of an accepted change, or the error of a rejected
// one.
type changeResult struct {
	offset int64
	err    error
}

// findIntent requests the valid intent of a key.
type findIntent struct {
	account string
	key     string
	reply   func(intentResult)
}

// intentResult is the valid intent of a key, if ok.
type intentResult struct {
	berylintent.Binding
	ok bool
	// caughtUp reports whether the stream has been read to its end once.
	caughtUp bool
}

// buildIntent requests a record that binds a key to a call.
type buildIntent struct {
	account string
	key     string
	sum     string
	callID  string
	// prev is the key's previous call, which has a tombstone; empty if the key
	// is new.
	prev  string
	reply func(buildIntentResult)
}

// buildIntentResult is the record, if ok.
type buildIntentResult struct {
	record berylrecord.Record
	ok     bool
}

// findJob requests the state of a job.
type findJob struct {
	id    string
	reply func(jobResult)
}

// jobResult is the state of a job, if ok.
type jobResult struct {
	state beryljob.State
	ok    bool
	// upto is the last offset of the stream that was read. fresh reports
	// whether its end was read less than a lease ago.
	upto  int64
	fresh bool
}

// listJobs requests all jobs of an account.
type listJobs struct {
	account string
	reply   func([]beryljob.State)
}

// drainAgent requests that an agent gets no new work.
type drainAgent struct {
	agent string
	reply func(bool)
}

// leaderEvent carries the result of an effect.
type leaderEvent struct {
	event berylleader.Event
}

// appendFinished reports that a leader's append has been read back or has timed
// out.
type appendFinished struct {
	job string
}

// refreshFinished reports that the appends of a refresh have finished.
type refreshFinished struct{}

// dumpState requests the state for the state dump.
type dumpState struct {
	reply func(State)
}

// termAppendFinished reports that the append of a claim or renewal has
// finished.
type termAppendFinished struct{}

// stopLeading requests that this entry claims no further term. The reply is the
// term that it leads, or zero.
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
