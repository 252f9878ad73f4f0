package beryldirector

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylstore"
)

const (
	// _fresh is how old the last read may be for a claim: an entry that can't
	// read the topic can't tell a silent leader from its own deafness.
	_fresh = time.Second
	// _retryClaim is the pause after a claim without a known outcome.
	_retryClaim = 500 * time.Millisecond
	// _probeAfter is above the time that a slow store takes for two appends, a
	// quarter of a second each.
	_probeAfter = 550 * time.Millisecond
	_probeEvery = 400 * time.Millisecond
	// _spacing keeps entries from claiming at the same moment.
	_spacing = 120 * time.Millisecond
	// _smallCores is less than a leader of some dozens of agents needs at times.
	_smallCores = 0.3
	// _places is the number of different waiting times.
	_places = 5
)

// fromLeader reports whether only the current leader can have written r.
func (d *Director) fromLeader(r berylstore.Record) bool {
	return berylbook.IsClaim(r) || berylbook.IsProgress(r)
}

// claimChanged follows a new claim in the topic.
func (d *Director) claimChanged(now time.Time) {
	c := d.Book.Claim
	mine := c.Node == d.Self.Node && c.Boot == d.Self.Boot
	switch {
	case mine && !c.Resigned && c.Epoch > d.epoch:
		d.epoch = c.Epoch
		d.leadAt = now
		d.sureAt = d.triedAt
		d.flewAt = now
		d.flying = false
		d.note("leading", "epoch", d.epoch, "jobs", len(d.Book.Jobs))
		d.effects = append(d.effects, Announce{Epoch: d.epoch})
		d.takeUp(now)
	case !mine && d.Leading() && c.Epoch > d.epoch:
		d.Deposed()
	}
}

// takeUp settles the jobs that changed while nobody led.
func (d *Director) takeUp(now time.Time) {
	for _, j := range d.Book.Sorted() {
		if j.State.Final() {
			continue
		}
		if j.CancelledAt != 0 {
			d.stopJob(j, "cancelled")
		}
		d.settle(now, j)
	}
}

// campaign claims to lead if the leader is silent or has resigned.
func (d *Director) campaign(now time.Time) {
	if d.retired || d.stale || now.Sub(d.readAt) > _fresh || now.Sub(d.triedAt) < _retryClaim {
		return
	}
	if !d.movedAt.IsZero() && !d.readAt.After(d.movedAt) {
		return
	}
	c := d.Book.Claim
	wait := d.delay(c.Epoch)
	if c.Epoch > 0 && !c.Resigned && c.Node != d.Self.Node {
		wait += d.Limits.Takeover
	}
	if c.Node == d.Self.Node && c.Boot != d.Self.Boot {
		// Our own earlier process led; its orders are fenced like any other's.
		wait = 0
	}
	if c.Epoch > 0 && c.Epoch == d.yielded {
		wait = 0
	}
	if now.Sub(d.heardAt) < wait {
		return
	}
	d.triedAt = now
	d.note("claim", "epoch", c.Epoch+1, "previous", c.Node, "silence", now.Sub(d.heardAt).Milliseconds(), "end", d.end)
	d.effects = append(d.effects, Claim{At: d.end, Claim: berylbook.Claim{
		Epoch: c.Epoch + 1, Node: d.Self.Node, Boot: d.Self.Boot, Addr: d.Self.Addr,
	}})
}

// probe asks for a look at the store when an append has no answer for some time.
func (d *Director) probe(now time.Time) {
	if !d.flying || now.Sub(d.flewAt) < _probeAfter || now.Sub(d.probedAt) < _probeEvery {
		return
	}
	d.probedAt = now
	d.effects = append(d.effects, Probe{Epoch: d.epoch})
}

// Yield gives the lead up because the store answers others but not this entry. It
// returns false if that is over. From then on this entry confirms no contact and
// orders nothing under the epoch.
func (d *Director) Yield(now time.Time, epoch int64) bool {
	if d.epoch != epoch || !d.flying || now.Sub(d.flewAt) < _probeAfter {
		return false
	}
	d.note("yield", "epoch", epoch, "unanswered", now.Sub(d.flewAt).Milliseconds())
	d.Deposed()
	return true
}

// Yielded tells that the leader of an epoch has given up for this entry.
func (d *Director) Yielded(epoch int64) { d.yielded = max(d.yielded, epoch) }

// ClaimMoved tells that the topic did not end where the claim took it to end, so
// that the claim can be repeated as soon as the newer records are read.
func (d *Director) ClaimMoved(now time.Time) {
	d.movedAt = now
	d.triedAt = time.Time{}
}

// delay spreads the claims of the entries; the order changes with each epoch.
// Entries on small VMs come last, as the leader hears all agents.
func (d *Director) delay(epoch int64) time.Duration {
	h := xxhash.Sum64String(d.Self.Node + "/" + strconv.FormatInt(epoch, 10))
	delay := time.Duration(h%_places) * _spacing
	if d.Self.Cores > 0 && d.Self.Cores < _smallCores {
		delay += _places * _spacing
	}
	return delay
}

func (d *Director) renewal() []berylstore.Record {
	c := d.Book.Claim
	r, err := c.Record()
	if err != nil {
		d.note("claim can't be encoded", "err", err)
		return nil
	}
	return []berylstore.Record{r}
}

// Resign gives the lead up and returns the record that says so, if this entry
// leads. The caller appends it after the outstanding append.
func (d *Director) Resign() (Persist, bool) {
	d.retired = true
	if !d.Leading() {
		return Persist{}, false
	}
	c := d.Book.Claim
	c.Resigned = true
	r, err := c.Record()
	if err != nil {
		return Persist{}, false
	}
	epoch := d.epoch
	d.note("resigned", "epoch", epoch)
	d.Deposed()
	return Persist{Epoch: epoch, Records: []berylstore.Record{r}}, true
}

// sure reports whether no other entry can have taken the lead over yet.
func (d *Director) sure(now time.Time) bool {
	return d.Leading() && berylclock.Age(now, d.sureAt) < d.Limits.Sure
}

// Epoch returns the epoch under which this entry leads, or zero.
func (d *Director) Epoch() int64 { return d.epoch }
