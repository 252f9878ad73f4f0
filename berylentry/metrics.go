package berylentry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylerror"
)

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	calls      *prometheus.CounterVec
	seconds    prometheus.Histogram
	retries    prometheus.Counter
	resolved   *prometheus.CounterVec
	heartbeats prometheus.Counter
	reads      *prometheus.CounterVec
	appends    *prometheus.CounterVec
	elections  prometheus.Counter
	effects    *prometheus.CounterVec
	outages    prometheus.Counter
	limited    *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_entry_calls_total",
			Help: "Calls by kind of result.",
		}, []string{"kind"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "berylglade_entry_call_seconds",
			Help:    "Duration of answered calls.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17),
		}),
		retries: counter("berylglade_entry_retries_total", "Call attempts after the first."),
		resolved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_entry_resolved_total",
			Help: "Calls whose reply was lost, by kind of the resolved outcome.",
		}, []string{"kind"}),
		heartbeats: counter("berylglade_entry_heartbeats_total", "Heartbeats received from agents."),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_entry_log_reads_total",
			Help: "Reads of the log by stream and result.",
		}, []string{"stream", "result"}),
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_entry_log_appends_total",
			Help: "Appends to the log by stream and result.",
		}, []string{"stream", "result"}),
		elections: counter("berylglade_entry_elections_total", "Terms that this entry has led."),
		effects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_entry_effects_total",
			Help: "Effects of the leader by type and result.",
		}, []string{"type", "result"}),
		outages: counter("berylglade_entry_outage_reports_total", "Unanimous reports that no entry can read the log."),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_entry_connections_limited_total",
			Help: "Connections and requests of callers that were closed or refused because of a limit.",
		}, []string{"action", "reason"}),
	}
	if r == nil {
		return m, nil
	}
	all := []prometheus.Collector{
		m.calls, m.seconds, m.retries, m.resolved, m.heartbeats, m.reads, m.appends, m.elections, m.effects, m.outages, m.limited,
	}
	for _, c := range all {
		if err := r.Register(c); err != nil {
			return nil, berylerror.Invalid.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// result returns the value of a result or kind label.
func result(err error) string {
	if err == nil {
		return "ok"
	}
	return berylerror.Of(err).String()
}

func (m *metrics) observeCall(err error, took time.Duration) {
	m.calls.WithLabelValues(result(err)).Inc()
	if err == nil {
		m.seconds.Observe(took.Seconds())
	}
}
