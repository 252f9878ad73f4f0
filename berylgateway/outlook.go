package berylgateway

import (
	"time"

	"berylglade/berylclock"
	"berylglade/beryloutlook"
)

// recorded is the leader's reply to a record. It brings the summary of the load to the
// entries that clients submit jobs to.
type recorded struct {
	// Outlook is nil if the leader has none.
	Outlook *beryloutlook.Outlook `cbor:"o,omitempty"`
	// Age is the age of the Outlook.
	Age time.Duration `cbor:"a,omitempty"`
}

// datedOutlook is a summary of the load and when the leader made it.
type datedOutlook struct {
	outlook *beryloutlook.Outlook
	madeAt  time.Time
}

// recordedReply returns the leader's reply to a record.
func (g *Gateway) recordedReply(now time.Time) *recorded {
	o, age := g.currentOutlook(now)
	return &recorded{Outlook: o, Age: age}
}

// noteRecorded keeps the summary that the leader has sent. The time of the message counts
// as its age from when it arrived; it is bounded by the timeout of the call.
func (g *Gateway) noteRecorded(now time.Time, r *recorded) {
	if r.Outlook != nil {
		g.outlook.Store(&datedOutlook{outlook: r.Outlook, madeAt: now.Add(-r.Age)})
	}
}

// currentOutlook returns the newest summary of the load and its age; nil if it is not that
// of the present leader.
func (g *Gateway) currentOutlook(now time.Time) (*beryloutlook.Outlook, time.Duration) {
	o := g.outlook.Load()
	claim := g.View.Claim()
	if o == nil || o.outlook.Epoch != claim.Epoch || claim.Resigned {
		return nil, 0
	}
	return o.outlook, berylclock.Age(now, o.madeAt)
}
