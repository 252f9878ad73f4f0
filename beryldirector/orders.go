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

// moveNoted moves the number up to which ends are recorded.
func (d *Director) moveNoted(m *member) {
	slices.SortFunc(m.ends, func(a, b endOf) int { return int(a.n - b.n) })
	for len(m.ends) > 0 && (m.ends[0].job == "" || d.clean(m.ends[0].job)) {
		m.noted = m.ends[0].n
		m.ends = m.ends[1:]
	}
}

// Orders returns what to send to the agent of each node.
func (d *Director) Orders(now time.Time) map[string]berylreport.Orders {
	if !d.Leading() {
		return nil
	}
	orders := map[string]berylreport.Orders{}
	for node, m := range d.members {
		if m.last.Incarnation.Instance == "" {
			continue
		}
		d.moveNoted(m)
		orders[node] = berylreport.Orders{Epoch: d.epoch, Incarnation: m.last.Incarnation, Acked: m.noted, Stop: slices.Clone(m.unknown)}
	}
	for _, s := range d.look().active {
		d.order(orders, s)
	}
	return d.pending(now, orders)
}

func (d *Director) order(orders map[string]berylreport.Orders, s slot) {
	t := s.task
	o, ok := orders[t.Incarnation.Node]
	if !ok || o.Incarnation != t.Incarnation || t.Phase == berylbook.Working || !t.Phase.Active() {
		return
	}
	k := berylreport.Key{Task: s.name, Run: t.Run}
	switch {
	case t.Phase == berylbook.Stopping:
		o.Stop = append(o.Stop, k)
	case t.Phase == berylbook.Ordered && d.clean(s.job.Work.ID) && !d.members[t.Incarnation.Node].handled[k]:
		o.Start = append(o.Start, berylreport.Start{Key: k, Spec: s.job.Work.Spec, Checkpoint: t.Checkpoint})
	default:
		return
	}
	orders[t.Incarnation.Node] = o
}

// pending drops orders that the agent has heard already.
func (d *Director) pending(now time.Time, orders map[string]berylreport.Orders) map[string]berylreport.Orders {
	for node, o := range orders {
		m := d.members[node]
		told := fingerprint(o)
		same := told == m.told
		idle := len(o.Start) == 0 && len(o.Stop) == 0
		if same && (idle || now.Sub(m.sent) < _resend) {
			delete(orders, node)
			continue
		}
		m.told = told
		m.sent = now
	}
	return orders
}

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

// Addr returns the address of the agent of a node.
func (d *Director) Addr(node string) string {
	m := d.members[node]
	if m == nil {
		return ""
	}
	return m.last.Addr
}

// used returns what the runs known to the book hold on each node.
func (d *Director) used() (held, coming map[string]berylroom.Resources) {
	held = map[string]berylroom.Resources{}
	coming = map[string]berylroom.Resources{}
	for _, s := range d.look().active {
		room := s.job.Work.Steps[s.ref.Step].Resources()
		node := s.task.Incarnation.Node
		held[node] = held[node].Add(room)
		if s.task.Phase == berylbook.Stopping {
			coming[node] = coming[node].Add(room)
		}
	}
	return held, coming
}
