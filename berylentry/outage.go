package berylentry

import (
	"time"

	"k8s.io/klog/v2"

	"berylglade/berylmessage"
	"berylglade/berylrecord"
)

// outage is the state of the questions to the other entries.
type outage struct {
	// asked is when the last round began; busy is set until it ends.
	asked time.Time
	busy  bool
	// unanimous is set while every entry reports that it cannot read the log.
	unanimous bool
}

// reachable reports whether this entry may be able to read the configuration
// stream. It is false only after a failed read, as an entry that has not tried
// knows nothing.
func (c *control) reachable(now time.Time) bool {
	return !c.readers[berylrecord.StreamConfig].failing(now)
}

// onPeek answers another entry. Valid says that this process has read the log
// itself, so that it knows every change that it has accepted; the age is that
// of the confirmation.
func (c *control) onPeek(now time.Time) berylmessage.PeekReply {
	confirmation := c.freshness.Confirmation(now)
	confirmation.Valid = confirmation.Valid && c.confirmed
	return berylmessage.PeekReply{
		Confirmation: confirmation,
		Reachable:    c.reachable(now),
		Term:         c.catalog.Number,
	}
}

// peekPeers starts a round of questions if it is time.
func (c *control) peekPeers(now time.Time) {
	interval := _peekInterval
	if !c.reachable(now) {
		interval = _outagePeekInterval
	}
	if c.outage.busy || now.Sub(c.outage.asked) < interval {
		return
	}
	c.outage.busy = true
	c.outage.asked = now
	own := c.merge.Config().Offset
	c.e.background.Go(func() { c.e.peekRound(c.e.work, own) })
}

// onPeeked takes over what the other entries know.
func (c *control) onPeeked(now time.Time, msg peeked) {
	c.outage.busy = false
	own := c.merge.Config().Offset
	for _, reply := range msg.replies {
		c.freshness.Confirm(now, msg.began, reply.Confirmation, own)
	}
	msg.replies[c.e.PeerAddr] = c.onPeek(now)
	unanimous := c.freshness.ConfirmDuringOutage(now, msg.began, append([]string{c.e.PeerAddr}, c.e.settings.Entries...), msg.replies, own)
	if unanimous != c.outage.unanimous {
		klog.InfoS("unanimous outage report", "entry", c.e.settings.Name, "holds", unanimous)
	}
	c.outage.unanimous = unanimous
	if unanimous {
		c.e.metrics.outages.Inc()
	}
}
