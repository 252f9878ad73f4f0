package beryldirector

import (
	"slices"
	"strings"
	"time"

	"berylglade/berylbook"
	"berylglade/berylfit"
	"berylglade/berylwork"
)

// victims returns the units of work that priority zero may stop, by node.
func (d *Director) victims(now time.Time) map[string][]berylfit.Victim {
	victims := map[string][]berylfit.Victim{}
	for _, s := range d.look().active {
		q, ok := d.Policy.Queue(s.job.Work.Queue)
		if !ok || q.Priority == 0 || s.job.State.Final() || s.task.Phase == berylbook.Stopping || s.job.Work.Steps[s.ref.Step].LongRunning {
			continue
		}
		node := s.task.Incarnation.Node
		victims[node] = append(victims[node], d.victimOf(now, s.job, s.ref, s.task))
	}
	return victims
}

func (d *Director) victimOf(now time.Time, j *berylbook.Job, ref berylwork.Ref, t *berylbook.Task) berylfit.Victim {
	step := &j.Work.Steps[ref.Step]
	lost := float64(now.UnixMilli()-t.OrderedAt) / 1000
	if step.Checkpoints {
		lost = min(lost, _checkpoint.Seconds())
	}
	weight := float64(step.Need.Millicores)/1000 + _coresPerAccelerator*float64(step.Need.Accelerators)
	if step.Gang {
		weight *= float64(step.Count)
	}
	return berylfit.Victim{
		Unit:      unitName(j, ref.Occurrence, ref.Step, ref.Index),
		Resources: step.Resources(),
		Loss:      lost * weight,
	}
}

// reserve keeps the room that comes free soonest for a gang, or for a task that
// needs much of a host. Small tasks that are placed after it would otherwise take
// each accelerator as it comes free, and the gang would never find enough at once.
func (d *Director) reserve(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) {
	if d.reserved >= _reservations || u.waiting < _reserveAfter || demand.Count*demand.Resources.Accelerators < _reserveFrom {
		return
	}
	d.reserved++
	if d.keep(now, u, hosts, demand) {
		return
	}
	if d.ending == nil {
		d.ending = d.endings(now)
	}
	later := slices.Clone(hosts)
	for i := range later {
		later[i].Victims = d.ending[later[i].Node]
	}
	if _, places, ok := demand.Evict(later); ok {
		d.choose(now, u, hosts, places, demand)
	}
}

// kept is the room that a unit waits for.
type kept struct {
	at    time.Time
	nodes []string
}

// choose keeps room for a unit until the next search for it.
func (d *Director) choose(now time.Time, u *unit, hosts []berylfit.Host, places []int, demand *berylfit.Demand) {
	k := kept{at: now}
	for _, i := range places {
		k.nodes = append(k.nodes, hosts[i].Node)
	}
	d.kept[u.name()] = k
	take(hosts, places, demand)
}

// keep takes the room that was chosen for the unit lately. A search looks at
// every run and is not worth its time at each look.
func (d *Director) keep(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	k, ok := d.kept[u.name()]
	if !ok || now.Sub(k.at) > _searchEvery || len(k.nodes) != demand.Count {
		delete(d.kept, u.name())
		return false
	}
	places := make([]int, 0, len(k.nodes))
	for _, node := range k.nodes {
		i, found := slices.BinarySearchFunc(hosts, node, func(h berylfit.Host, n string) int { return strings.Compare(h.Node, n) })
		if !found {
			delete(d.kept, u.name())
			return false
		}
		places = append(places, i)
	}
	take(hosts, places, demand)
	return true
}

// endings returns all runs by node, each with the time until its end as its loss.
func (d *Director) endings(now time.Time) map[string][]berylfit.Victim {
	ending := map[string][]berylfit.Victim{}
	for _, s := range d.look().active {
		if s.task.Phase == berylbook.Stopping {
			continue
		}
		room := s.job.Work.Steps[s.ref.Step].Resources()
		node := s.task.Incarnation.Node
		ending[node] = append(ending[node], berylfit.Victim{
			Unit: s.name, Resources: room,
			Loss: d.leftOf(now, s.job, s.ref, s.task).Seconds() * float64(max(room.Accelerators, 1)),
		})
	}
	return ending
}

// makeRoom keeps the room that an urgent unit will need and stops what holds it
// once the unit can wait no longer.
func (d *Director) makeRoom(now time.Time, u *unit, hosts []berylfit.Host, demand *berylfit.Demand) bool {
	over := u.waiting >= d.preemptAfter(u) && !d.settling(now)
	if !over && d.keep(now, u, hosts, demand) {
		return true
	}
	if d.victim == nil {
		d.victim = d.victims(now)
	}
	for i := range hosts {
		hosts[i].Victims = d.victim[hosts[i].Node]
	}
	units, places, ok := demand.Evict(hosts)
	if !ok {
		return false
	}
	if !over {
		d.choose(now, u, hosts, places, demand)
		return true
	}
	d.evict(u, hosts, units)
	if !u.promised.Before(now) {
		d.promised[u.name()] = now
	}
	take(hosts, places, demand)
	return true
}

// preemptAfter returns how long an urgent unit waits for room that comes free by
// itself. Stopped work is lost, so a unit waits as long as its job can still be
// in time. Work within the account's guarantee waits for a bounded time.
func (d *Director) preemptAfter(u *unit) time.Duration {
	latest := u.due.Add(-time.Duration(u.chain) * time.Millisecond)
	slack := time.Duration(float64(latest.Sub(u.from))*_slackTrust) - _stopAndStart
	if d.guaranteed(u) {
		slack = min(slack, _guaranteePatience)
	}
	return max(slack, 0)
}

// rackPatience returns how long a gang waits for one rack with enough room. Over
// several racks it takes three times as long, so it may wait for twice its run
// time; guaranteed work has to begin sooner.
func (d *Director) rackPatience(u *unit) time.Duration {
	if u.queue.Priority == 0 && d.guaranteed(u) {
		return _rackPatience
	}
	extra := 2 * time.Duration(u.spec().Estimate) * time.Millisecond
	return min(max(extra, _rackPatience), _rackPatienceMost)
}

// guaranteed reports whether all urgent jobs of the unit's account fit into its
// guarantee.
func (d *Director) guaranteed(u *unit) bool {
	limit := d.Policy.Guaranteed(u.job.Work.Account)
	if limit == 0 {
		return false
	}
	need := 0
	for _, j := range d.look().live {
		q, ok := d.Policy.Queue(j.Work.Queue)
		if !ok || q.Priority != 0 || j.State.Final() || j.CancelledAt != 0 || j.Work.Account != u.job.Work.Account {
			continue
		}
		need += widest(j.Work)
	}
	return need <= limit
}

// widest returns the accelerators of the job's largest step.
func widest(w *berylwork.Work) int {
	n := 0
	for _, s := range w.Steps {
		n = max(n, s.Count*s.Need.Accelerators)
	}
	return n
}

// evict stops the units and counts their room as coming.
func (d *Director) evict(u *unit, hosts []berylfit.Host, units []string) {
	for _, name := range units {
		d.note("preempt", "unit", name, "for", u.name(), "waited", u.waiting.Milliseconds())
		d.stopUnit(name)
		for i := range hosts {
			for _, v := range hosts[i].Victims {
				if v.Unit == name {
					hosts[i].Releasing = hosts[i].Releasing.Add(v.Resources)
				}
			}
			hosts[i].Victims = slices.DeleteFunc(slices.Clone(hosts[i].Victims), func(v berylfit.Victim) bool { return v.Unit == name })
			d.victim[hosts[i].Node] = hosts[i].Victims
		}
	}
}

func (d *Director) stopUnit(name string) {
	ref, ok := berylwork.ParseRef(name)
	if !ok {
		return
	}
	j, t := d.Book.Task(ref)
	if t == nil {
		return
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if !j.Work.Steps[ref.Step].Gang {
		tasks = tasks[ref.Index : ref.Index+1]
	}
	for i := range tasks {
		tasks[i].Stop()
	}
	d.mark(j.Work.ID)
}
