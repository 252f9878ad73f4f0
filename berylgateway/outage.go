package berylgateway

import (
	"log/slog"
	"time"
)

// outage logs the first failed read of a topic and its recovery, but not the failed
// reads in between. It is owned by the goroutine of the topic's follower.
type outage struct {
	since       time.Time
	failedReads int
}

func (o *outage) failed(now time.Time, log *slog.Logger, topic string, err error) {
	if o.failedReads == 0 {
		o.since = now
		log.Warn("store not read", "topic", topic, "err", err)
	}
	o.failedReads++
}

func (o *outage) recovered(now time.Time, log *slog.Logger, topic string) {
	if o.failedReads > 0 {
		log.Info("store read again", "topic", topic, "failed", o.failedReads, "ms", now.Sub(o.since).Milliseconds())
	}
	o.failedReads = 0
}
