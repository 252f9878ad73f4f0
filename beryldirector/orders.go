package beryldirector

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylreport"
	"berylglade/berylroom"
)

// advanceAckedEnd advances the number up to which ends are recorded.
func (d *Director) advanceAckedEnd(a *agentState) {
	slices.SortFunc(a.unrecordedEnds, func(a, b pendingEnd) int { return int(a.n - b.n) })
	for len(a.unrecordedEnds) > 0 && (a.unrecordedEnds[0].job == "" || d.isRecorded(a.unrecordedEnds[0].job)) {
		a.ackedEnd = a.unrecordedEnds[0].n
		a.unrecordedEnds = a.unrecordedEnds[1:]
	}
}

// Orders returns the orders to send to the agent of each node. It computes those of all
// agents, so it does so after an append and otherwise at most once every _orderInterval.
func (d *Director) Orders(now time.Time) map[string]berylreport.Orders {
	if !d.Leading() {
		return nil
	}
	if now.Sub(d.ordersAt) < _orderInterval {
		d.ordersDeferred = true
		return nil
	}
	d.ordersAt = now
	d.ordersDeferred = false
	orders := map[string]berylreport.Orders{}
	for node, a := range d.agents {
		if a.report.Incarnation.Instance == "" {
			continue
		}
		d.advanceAckedEnd(a)
		orders[node] = berylreport.Orders{
			Epoch: d.epoch, Incarnation: a.report.Incarnation, Basis: a.contactClock, Boot: a.report.Boot, Acked: a.ackedEnd, Stop: slices.Clone(a.unknown),
		}
	}
	size := map[string]int{}
	d.eachActive(func(s activeTask) { d.addOrder(now, orders, size, s) })
	return d.dropRepeated(now, orders)
}

// addOrder adds the order for a task. Size has the size of the starts for each node, in
// bytes. What exceeds that of a message follows when the agent has received the others.
func (d *Director) addOrder(now time.Time, orders map[string]berylreport.Orders, size map[string]int, s activeTask) {
	t := s.task
	o, ok := orders[t.Incarnation.Node]
	if !ok || o.Incarnation != t.Incarnation || t.Phase == berylbook.Working || !t.Phase.Active() {
		return
	}
	k := berylreport.Key{Task: s.name, Run: t.Run}
	switch {
	case t.Phase == berylbook.Stopping:
		o.Stop = append(o.Stop, k)
	case t.Phase == berylbook.Ordered && d.isRecorded(s.job.Work.ID) && d.mayStart(now, d.agents[t.Incarnation.Node], k):
		n := _startSize + len(k.Task) + len(s.job.Work.Spec) + len(t.Checkpoint)
		if len(o.Start) > 0 && size[t.Incarnation.Node]+n > _maxOrdersSize {
			// The time to confirm it begins when it is sent.
			d.orderedAt[runKey{s.ref, t.Run}] = now
			return
		}
		size[t.Incarnation.Node] += n
		o.Start = append(o.Start, berylreport.Start{Key: k, Spec: s.job.Work.Spec, Checkpoint: t.Checkpoint})
	default:
		return
	}
	orders[t.Incarnation.Node] = o
}

// mayStart reports whether a recorded start is to be sent to the agent: the agent has not
// received it, and the last contact is not so old that the agent would refuse it.
func (d *Director) mayStart(now time.Time, a *agentState, k berylreport.Key) bool {
	return !a.handled[k] && a.contactClock != 0 && now.Sub(a.contactAt) <= d.Limits.LeaderTimeout
}

// dropRepeated removes orders that were sent before, unless they contain a start or
// stop and are due to be sent again.
func (d *Director) dropRepeated(now time.Time, orders map[string]berylreport.Orders) map[string]berylreport.Orders {
	for node, o := range orders {
		a := d.agents[node]
		sum := fingerprint(o)
		same := sum == a.sentFingerprint
		idle := len(o.Start) == 0 && len(o.Stop) == 0
		if same && (idle || now.Sub(a.sentAt) < _resendInterval) {
			delete(orders, node)
			continue
		}
		a.sentFingerprint = sum
		a.sentAt = now
	}
	return orders
}

// fingerprint identifies the contents of orders.
func fingerprint(o berylreport.Orders) string {
	var b strings.Builder
	keys := make([]string, 0, len(o.Start)+len(o.Stop))
	for _, s := range o.Start {
		keys = append(keys, "s"+s.Task+"#"+strconv.Itoa(s.Run))
	}
	for _, s := range o.Stop {
		keys = append(keys, "x"+s.Task+"#"+strconv.Itoa(s.Run))
	}
	slices.Sort(keys)
	for _, k := range keys {
		b.WriteString(k)
		b.WriteByte(' ')
	}
	b.WriteString(strconv.FormatInt(o.Acked, 10))
	return b.String()
}

// Addr returns the address of the agent of a node, and that of the entry that relays
// messages to it; empty if it reports to this entry itself.
func (d *Director) Addr(node string) (addr, via string) {
	a := d.agents[node]
	if a == nil {
		return "", ""
	}
	return a.report.Addr, a.report.Via
}

const (
	// _orderInterval is the minimum time between two computations of the orders.
	_orderInterval = 10 * time.Millisecond
	// _maxOrdersSize is the size of the starts in one message to an agent, in bytes. A
	// message may have 16 MiB, and the smallest agent's memory is 152 MB.
	_maxOrdersSize = 2 << 20
	// _startSize is the size of a start without its strings, in bytes.
	_startSize = 32
)

// usedResources returns the resources that active runs use on each node, and the
// part of them that is being released because the run is being stopped.
func (d *Director) usedResources(now time.Time) (used, releasing map[string]berylroom.Resources) {
	used = map[string]berylroom.Resources{}
	releasing = map[string]berylroom.Resources{}
	d.eachActive(func(s activeTask) {
		resources := taskResources(&s.job.Work.Steps[s.ref.Step])
		node := s.task.Incarnation.Node
		used[node] = used[node].Add(resources)
		if s.task.Phase == berylbook.Stopping && !d.stopOverdue(now, s) {
			releasing[node] = releasing[node].Add(resources)
		}
	})
	return used, releasing
}
