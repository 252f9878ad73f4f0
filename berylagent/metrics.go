package berylagent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylerror"
)

// metrics are the Prometheus metrics of one agent.
type metrics struct {
	calls      *prometheus.CounterVec
	latency    prometheus.Histogram
	heartbeats *prometheus.CounterVec
	gangs      *prometheus.CounterVec
	tasks      *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_agent_calls_total",
			Help: "Calls by the kind of their outcome; ok means answered.",
		}, []string{"kind"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "berylglade_agent_call_seconds",
			Help:    "Time from the arrival of a call to its reply.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_agent_beats_total",
			Help: "Heartbeats to entries by result.",
		}, []string{"result"}),
		gangs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_agent_gangs_total",
			Help: "Gang parts by the phase that they entered.",
		}, []string{"phase"}),
		tasks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylglade_agent_task_requests_total",
			Help: "Requests to the worker by kind and result.",
		}, []string{"request", "result"}),
	}
	for _, c := range []prometheus.Collector{m.calls, m.latency, m.heartbeats, m.gangs, m.tasks} {
		if err := reg.Register(c); err != nil {
			return nil, berylerror.Internal.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

func (m *metrics) call(err error, took time.Duration) {
	m.calls.WithLabelValues(result(err)).Inc()
	m.latency.Observe(took.Seconds())
}

func (m *metrics) heartbeat(err error) { m.heartbeats.WithLabelValues(result(err)).Inc() }

func (m *metrics) task(request string, err error) {
	m.tasks.WithLabelValues(request, result(err)).Inc()
}

// result returns the label value for the outcome of a request.
func result(err error) string {
	if err == nil {
		return "ok"
	}
	return berylerror.Of(err).String()
}
