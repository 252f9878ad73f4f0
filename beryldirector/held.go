package beryldirector

import (
	"cmp"
	"slices"
	"time"

	"berylglade/berylfit"
	"berylglade/berylwork"
)

// Held is the capacity that waits for a unit, as of the last placement pass.
type Held struct {
	// Unit is the first task of the unit.
	Unit    string `json:"unit"`
	Queue   string `json:"queue"`
	Account string `json:"account"`
	Service string `json:"service"`
	// Accelerators is the number that is reserved, on Nodes; zero for a unit that is blocked.
	Accelerators int      `json:"accelerators"`
	Nodes        []string `json:"nodes,omitempty"`
	// Since is when capacity was first reserved for the unit, Free when all of it is expected
	// to be free, and Open when it is lent to any work, all in Unix milliseconds.
	Since int64 `json:"since,omitempty"`
	Free  int64 `json:"free,omitempty"`
	Open  int64 `json:"open,omitempty"`
	// Blocked is true if nothing is reserved, because work of which no end is expected is in
	// the way.
	Blocked bool `json:"blocked,omitempty"`
	// Borrowers is the number of units that run on capacity for which this one waits.
	Borrowers int `json:"borrowers,omitempty"`
}

// Held returns the capacity that waits for units, ordered by unit; nil if this entry does not
// lead.
func (d *Director) Held() []Held {
	if !d.Leading() {
		return nil
	}
	byUnit := map[string]*Held{}
	for node, holds := range d.holds {
		for _, h := range holds {
			held := byUnit[h.unit]
			if held == nil {
				held = d.heldBy(h.unit)
				held.Since, held.Free, held.Open = h.Since.UnixMilli(), h.FreeAt.UnixMilli(), h.OpenAt().UnixMilli()
				byUnit[h.unit] = held
			}
			held.Accelerators += h.resources.Accelerators
			if !slices.Contains(held.Nodes, node) {
				held.Nodes = append(held.Nodes, node)
			}
		}
	}
	for _, units := range d.blockedUnits {
		for _, unit := range units {
			held := d.heldBy(unit)
			held.Blocked = true
			byUnit[unit] = held
		}
	}
	for _, b := range d.borrowed {
		for _, unit := range b.lenders {
			if held := byUnit[unit]; held != nil && !b.over() {
				held.Borrowers++
			}
		}
	}
	list := make([]Held, 0, len(byUnit))
	for _, held := range byUnit {
		slices.Sort(held.Nodes)
		list = append(list, *held)
	}
	slices.SortFunc(list, func(a, b Held) int { return cmp.Compare(a.Unit, b.Unit) })
	return list
}

// heldBy returns the entry of a unit without capacity.
func (d *Director) heldBy(unit string) *Held {
	held := &Held{Unit: unit}
	ref, ok := berylwork.ParseRef(unit)
	if !ok {
		return held
	}
	j, _ := d.Book.Task(ref)
	if j == nil {
		return held
	}
	held.Queue, held.Account = j.Work.Queue, j.Work.Account
	if q, ok := d.queueOf(j.Work); ok {
		held.Service = q.Service
	}
	return held
}

// noteReserved logs that capacity is reserved for a unit, once.
func (d *Director) noteReserved(now time.Time, u *unit, r *reservation, accelerators int) {
	d.note("reserve", "unit", u.name(), "queue", u.queue.Name, "priority", u.queue.Priority, "account", u.job.Work.Account,
		"accelerators", accelerators, "nodes", r.nodes, "waited", u.waited.Milliseconds(), "freeIn", r.freeAt.Sub(now).Milliseconds())
}

// noteBlocked logs that no capacity is expected for a unit, once, with some of the units that
// are in its way.
func (d *Director) noteBlocked(now time.Time, u *unit, hosts []berylfit.Host) {
	var units []string
	for i := range hosts {
		for _, v := range d.currentEndingRuns(now)[hosts[i].Node] {
			if v.Loss >= _never.Seconds() && !slices.Contains(units, v.Unit) {
				units = append(units, v.Unit)
			}
		}
	}
	slices.Sort(units)
	d.note("blocked", "unit", u.name(), "queue", u.queue.Name, "priority", u.queue.Priority, "account", u.job.Work.Account,
		"waited", u.waited.Milliseconds(), "by", units[:min(len(units), _maxNotedUnits)], "of", len(units))
}

// noteReservationOver logs that a unit with a reservation does not wait any more.
func (d *Director) noteReservationOver(unit string, r reservation) {
	if r.since.IsZero() && !r.noted {
		return
	}
	held := time.Duration(0)
	if !r.since.IsZero() {
		held = d.now.Sub(r.since)
	}
	d.note("reservation over", "unit", unit, "held", held.Milliseconds(), "blocked", r.blocked)
}

// _maxNotedUnits bounds the units that a log line names.
const _maxNotedUnits = 4
