package berylsite

import (
	"github.com/prometheus/client_golang/prometheus"

	"berylglade/beryllistener"
	"berylglade/berylquota"
	"berylglade/platform"
)

// budgets are the shares of the VM's memory and descriptors.
type budgets struct {
	// heap bounds the memory of the Go runtime in bytes.
	heap int64
	// clients bounds the connections of clients, service those of each listener for
	// the platform, backend servers and operators.
	clients, service berylquota.Limits
	// internalConns is the maximum number of connections of entries and agents.
	internalConns int
}

func newBudgets(s platform.Settings) budgets {
	conns := s.Descriptors - platform.ReservedDescriptors
	return budgets{
		heap:          max(s.Memory-_otherMemory, s.Memory/2),
		clients:       berylquota.NewLimits(s.Memory/_clientMemoryShare, conns/_clientConnShare),
		service:       berylquota.NewLimits(s.Memory/_serviceMemoryShare, max(_minServiceConns, conns/_serviceConnShare)),
		internalConns: conns * 3 / _internalConnShare,
	}
}

// of returns the limits of a listener.
func (b budgets) of(listener string) berylquota.Limits {
	if listener == _clientListener {
		return b.clients
	}
	return b.service
}

// registerUsage registers the metrics of a listener.
func (p *process) registerUsage(name string, lis *beryllistener.Listener) {
	labels := prometheus.Labels{"listener": name}
	p.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylglade_connections", Help: "Open connections of a listener.", ConstLabels: labels,
	}, func() float64 {
		conns, _ := lis.Held()
		return float64(conns)
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylglade_connection_bytes", Help: "Memory that is reserved for the connections of a listener.", ConstLabels: labels,
	}, func() float64 {
		_, bytes := lis.Held()
		return float64(bytes)
	}))
}

const (
	_clientListener = "clients"
	// _otherMemory is the part of the memory, in bytes, for the code of the program
	// and the buffers of the kernel.
	_otherMemory = 24 << 20
	// Each share is one part in so many of the VM's memory, or of the descriptors that
	// connections may use; the internal listener has three of its parts, as each agent
	// has a connection to the leader. There are three service listeners at most. The
	// rest of the descriptors is for calls to the store, to other processes and to
	// backend servers.
	_clientMemoryShare  = 4
	_serviceMemoryShare = 16
	_clientConnShare    = 4
	_internalConnShare  = 8
	_serviceConnShare   = 32
	_minServiceConns    = 8
)
