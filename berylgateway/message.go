package berylgateway

import (
	"berylglade/beryldirector"
	"berylglade/berylfollower"
	"berylglade/berylpolicy"
	"berylglade/berylreport"
	"berylglade/berylstore"
)

// message is handled by the control actor.
type message interface{ message() }

type (
	jobsEvent struct{ event berylfollower.Event }
	policySet struct{ policy *berylpolicy.Policy }
	reported  struct {
		report berylreport.Report
		reply  func(berylreport.Answer)
	}
	entered struct {
		record berylstore.Record
		reply  func(error)
	}
	persisted struct {
		epoch int64
		err   error
	}
	alone struct {
		epoch int64
		peer  string
	}
	yielded  struct{ epoch int64 }
	moved    struct{}
	ticked   struct{}
	woken    struct{}
	resigned struct {
		reply func(resignation)
	}
)

// resignation is the last append of a leader, with its number.
type resignation struct {
	persist beryldirector.Persist
	seq     int64
}

func (jobsEvent) message() {}
func (policySet) message() {}
func (reported) message()  {}
func (persisted) message() {}
func (alone) message()     {}
func (yielded) message()   {}
func (moved) message()     {}
func (entered) message()   {}
func (ticked) message()    {}
func (woken) message()     {}
func (resigned) message()  {}
