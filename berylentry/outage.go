package berylentry

import (
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylmessage"
	"berylglade/berylrecord"
)

// outage is the state of the queries to the other entries.
type outage struct {
	// lastQuery is when the last round of queries began. querying is set until
	// it ends.
	lastQuery time.Time
	querying  bool
	// unanimous is set while every entry reports that it cannot read the log.
	unanimous bool
}

// logReachable reports whether this entry may be able to read the configuration
// stream. It is false only after failed reads, as an entry that has not tried
// does not know.
func (c *control) logReachable(now time.Time) bool {
	return !c.readers[berylrecord.StreamConfig].failing(now)
}

// onPeerQuery answers another entry. Valid is set if this process has read the
// log itself since it started, so that it knows every change that it has
// accepted. The age is that of the confirmation.
func (c *control) onPeerQuery(now time.Time) berylmessage.PeerStatusReply {
	confirmation := c.freshness.Confirmation(now)
	confirmation.Valid = confirmation.Valid && c.configConfirmed
	return berylmessage.PeerStatusReply{
		Confirmation: confirmation,
		Reachable:    c.logReachable(now),
		Term:         c.catalog.Number,
	}
}

// queryPeers starts a round of queries when one is due.
func (c *control) queryPeers(now time.Time) {
	interval := _peerQueryInterval
	if !c.logReachable(now) {
		interval = _outageQueryInterval
	}
	if c.outage.querying || now.Sub(c.outage.lastQuery) < interval {
		return
	}
	c.outage.querying = true
	c.outage.lastQuery = now
	ownOffset := c.merge.Config().Offset
	c.e.background.Go(func() { c.e.runPeerQuery(c.e.workCtx, ownOffset) })
}

// onPeerReplies applies the replies of the other entries.
func (c *control) onPeerReplies(now time.Time, msg peerReplies) {
	c.outage.querying = false
	ownOffset := c.merge.Config().Offset
	for _, reply := range msg.replies {
		c.freshness.Confirm(now, msg.sentAt, reply.Confirmation, ownOffset)
	}
	msg.replies[c.e.PeerAddr] = c.onPeerQuery(now)
	unanimous := c.freshness.ConfirmDuringOutage(now, msg.sentAt, append([]string{c.e.PeerAddr}, c.e.settings.Entries...), msg.replies, ownOffset)
	if unanimous != c.outage.unanimous {
		klog.InfoS("unanimous outage report", "entry", c.e.settings.Name, "holds", unanimous)
	}
	c.outage.unanimous = unanimous
	if unanimous {
		c.e.metrics.outages.Inc()
	}
}
