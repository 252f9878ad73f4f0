package berylgateway

import (
	"log/slog"
	"time"
)

// outage writes one line when a topic can't be read any more and one when it can
// again, however many reads fail in between. The topic's follower owns it.
type outage struct {
	since time.Time
	reads int
}

func (o *outage) failed(now time.Time, log *slog.Logger, topic string, err error) {
	if o.reads == 0 {
		o.since = now
		log.Warn("store not read", "topic", topic, "err", err)
	}
	o.reads++
}

func (o *outage) over(now time.Time, log *slog.Logger, topic string) {
	if o.reads > 0 {
		log.Info("store read again", "topic", topic, "failed", o.reads, "ms", now.Sub(o.since).Milliseconds())
	}
	o.reads = 0
}
