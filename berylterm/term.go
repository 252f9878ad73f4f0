// Package berylterm decides who leads, from the records of stream control.
//
// A [Term] applies records in offset order; every reader that applies the same
// records reaches the same result. It also decides when a process may claim the
// next term and whether a leader may still act. For both it has to be told of
// each read of the stream: [Term.Truncate] with the log's first offset, then
// [Term.Apply] for each record, then [Term.Confirm]; or [Term.ReadFailed] if the
// read failed.
//
// A reader that starts behind retention has not read the claim of the current
// term. It learns the term from any record of the leader, as only a process
// whose claim was valid writes such records. Until it has read a valid claim it
// does not know the highest term for sure. If it claims itself, it takes a term
// that is higher than any earlier one: a claim takes up one offset of the
// stream, so no term is above the offset of its claim.
package berylterm

import (
	"time"

	"berylglade/berylrecord"
)

const (
	// Lease is how long a candidate reads the stream without a record of the
	// leader before it claims, and how long after its last confirmed read a
	// leader may act.
	Lease = 4 * time.Second
	// RenewEvery is the interval of renewals. Three lost ones do not depose
	// the leader.
	RenewEvery = time.Second
	// _maxUndecided bounds the claims that wait for a record of their term.
	_maxUndecided = 8
	// _undecidedFor bounds how long they wait, as the catalog keeps the earlier
	// states of jobs for each. A leader whose claim is valid writes a renewal
	// within RenewEvery.
	_undecidedFor = 2 * Lease
)

// Term is the leadership as of the last applied record. The zero value has read
// nothing.
type Term struct {
	// Number is the current term, or zero if there was none yet.
	Number int64
	// Leader is the name of the leader and Addr its address. They are empty if the
	// leader is not known.
	Leader   string
	Addr string
	// ClaimOffset is the offset of the leader's claim, or zero if it is not known.
	ClaimOffset int64
	// HandedOver is set when the leader has handed over. There is no leader then
	// until the next claim.
	HandedOver bool

	// last is the offset of the leader's last record.
	last int64
	// applied is the last offset that was read, first that of the first record
	// after the last gap.
	applied int64
	first   int64
	// unsure is set after a gap until a valid claim has been read.
	unsure    bool
	undecided []undecided
	// doubt is the offset of the last undecided claim. As that claim may be
	// valid, a claim whose base is lower is undecided too.
	doubt int64

	// quiet is when the stream was last known to have a record of the leader,
	// or when unbroken reading began.
	quiet time.Time
	// confirmed is when the last read that reached the end of the stream began.
	confirmed time.Time
	// renewed is when a claim or renewal of the leader was last read.
	renewed time.Time
}

// undecided is a claim that could not be judged.
type undecided struct {
	offset int64
	claim  berylrecord.Claim
	read   time.Time
}

// Outcome says what a record did.
type Outcome struct {
	// Valid is set for an accepted claim and for a record of the current term.
	Valid bool
	// Changed is set if Number, By, Addr or Handed changed.
	Changed bool
	// Pending is set for a claim that a later record may prove valid.
	Pending bool
	// VoidAfter is set if the record tells the offset of a claim that was not seen
	// as valid. Records of lower terms above this offset were not valid.
	VoidAfter *int64
}

// Truncate tells the first offset that the log keeps. It reports whether the leader
// is not known any more, because records were dropped before they were read.
func (t *Term) Truncate(first int64) bool {
	if first <= t.applied+1 {
		return false
	}
	t.first = first
	t.applied = first - 1
	t.unsure = true
	t.undecided = nil
	t.doubt = 0
	t.quiet = time.Time{}
	t.confirmed = time.Time{}
	changed := t.Leader != ""
	t.Leader, t.Addr, t.ClaimOffset, t.HandedOver = "", "", 0, false
	return changed
}

// Apply applies the record at an offset. Offsets grow from call to call.
func (t *Term) Apply(now time.Time, offset int64, r berylrecord.Record) Outcome {
	t.applied = max(t.applied, offset)
	switch body := r.Body.(type) {
	case berylrecord.Claim:
		return t.claim(now, offset, r.Base, body)
	case berylrecord.Renewal:
		out := t.leaderRecord(now, offset, body.Term, body.Lead)
		if out.Valid {
			t.renewed = now
		}
		return out
	case berylrecord.Handover:
		out := t.leaderRecord(now, offset, body.Term, body.Lead)
		if out.Valid && !t.HandedOver {
			t.HandedOver = true
			out.Changed = true
		}
		return out
	case berylrecord.JobState:
		if body.Term == 0 {
			return Outcome{}
		}
		return t.leaderRecord(now, offset, body.Term, berylrecord.Lead{})
	default:
		return Outcome{}
	}
}

// claim applies a claim. Its term only has to be above the current one and not
// exactly one more, as a candidate that starts behind retention leaves some out.
// The limits by offset refuse terms that no correct candidate can choose and
// that would leave no higher ones.
func (t *Term) claim(now time.Time, offset, base int64, c berylrecord.Claim) Outcome {
	switch {
	case c.By == "" || base < 0 || base >= offset || c.Term > offset:
		return Outcome{}
	case c.Term <= t.Number:
		return Outcome{}
	case base < t.first-1 || (t.unsure && max(t.last, t.doubt) > base):
		return t.postpone(now, offset, c)
	case t.last > base:
		return Outcome{}
	}
	t.Number, t.Leader, t.Addr, t.ClaimOffset, t.HandedOver = c.Term, c.By, c.Addr, offset, false
	t.unsure = false
	t.undecided = nil
	t.touch(now, offset)
	t.renewed = now
	return Outcome{Valid: true, Changed: true}
}

// postpone keeps a claim until a record of its term proves it valid. Its base
// lies before the first known record; or a record of the term lies between that
// may be a repetition, which readers with the earlier copy have dropped.
func (t *Term) postpone(now time.Time, offset int64, c berylrecord.Claim) Outcome {
	t.doubt = offset
	t.dropUndecided(now)
	if len(t.undecided) == _maxUndecided {
		return Outcome{}
	}
	t.undecided = append(t.undecided, undecided{offset: offset, claim: c, read: now})
	return Outcome{Pending: true}
}

// leaderRecord applies a record that only the leader of a term writes. It proves
// that the term's claim was valid. To a reader that does not know the term for
// sure it may be new; who leads and since when is known from the first record
// that tells. An undecided claim does not: it may be the loser of a race whose
// winner was dropped, and its writer must not take itself for the leader.
func (t *Term) leaderRecord(now time.Time, offset, term int64, lead berylrecord.Lead) Outcome {
	switch {
	case term < 1 || term > offset || term < t.Number:
		return Outcome{}
	case term > t.Number && !t.unsure:
		return Outcome{}
	case t.ClaimOffset != 0 && term == t.Number && lead.By != "" && lead.By != t.Leader:
		return Outcome{}
	}
	out := Outcome{Valid: true}
	if term > t.Number {
		t.Number, t.Leader, t.Addr, t.ClaimOffset, t.HandedOver = term, "", "", 0, false
		out.Changed = true
	}
	if t.ClaimOffset == 0 && lead.By != "" && lead.Since > 0 && lead.Since < offset {
		t.Leader, t.Addr, t.ClaimOffset = lead.By, lead.Addr, lead.Since
		out.Changed = true
		void := max(lead.Since, t.first-1)
		out.VoidAfter = &void
	}
	t.touch(now, offset)
	return out
}

func (t *Term) touch(now time.Time, offset int64) {
	t.last = offset
	t.quiet = now
}

func (t *Term) dropUndecided(now time.Time) {
	var kept []undecided
	for _, u := range t.undecided {
		open := u.claim.Term > t.Number || (u.claim.Term == t.Number && t.ClaimOffset == 0)
		if open && now.Sub(u.read) < _undecidedFor {
			kept = append(kept, u)
		}
	}
	t.undecided = kept
}

// ClaimPending reports whether the claim at an offset may still prove valid.
func (t *Term) ClaimPending(now time.Time, offset int64) bool {
	t.dropUndecided(now)
	for _, u := range t.undecided {
		if u.offset == offset {
			return true
		}
	}
	return false
}

// Uncertain reports whether the claim of the current term has not been read.
func (t *Term) Uncertain() bool { return t.unsure }

// Confirm tells that a read which began at a time has succeeded, after its
// records were applied. Upto is the last offset that was read, and caughtUp says
// whether it was the last of the stream.
func (t *Term) Confirm(began time.Time, upto int64, caughtUp bool) {
	t.applied = max(t.applied, upto)
	if t.quiet.IsZero() {
		t.quiet = began
	}
	if caughtUp {
		t.confirmed = began
	}
}

// ReadFailed tells that a read failed. A candidate then starts to wait again, which
// lets the leader renew first after an outage.
func (t *Term) ReadFailed() { t.quiet = time.Time{} }

// MayAct reports whether this process leads and may carry out side effects.
func (t *Term) MayAct(now time.Time, self string) bool {
	return t.Number > 0 && t.Leader == self && self != "" && !t.HandedOver && t.Fresh(now)
}

// MayClaim reports whether this process may claim the next term.
func (t *Term) MayClaim(now time.Time, self string) bool {
	switch {
	case !t.Fresh(now) || t.Leader == self:
		return false
	case t.HandedOver || (t.Number == 0 && t.first == 0):
		return true
	default:
		return !t.quiet.IsZero() && t.confirmed.Sub(t.quiet) >= Lease
	}
}

// Fresh reports whether the end of the stream was seen less than a lease ago. A
// process that has not read so far must not submit jobs either, as it may not
// know a job with the same key.
func (t *Term) Fresh(now time.Time) bool {
	return !t.confirmed.IsZero() && now.Sub(t.confirmed) < Lease
}

// ShouldRenew reports whether the leader should write a renewal. Other records
// of the leader do not postpone it, as only a renewal tells new readers its
// name and address.
func (t *Term) ShouldRenew(now time.Time, self string) bool {
	return t.Leader == self && self != "" && !t.HandedOver && now.Sub(t.renewed) >= RenewEvery
}

// Claim returns the claim of the next term for a record that is written now.
// The caller appends it only if MayClaim holds.
func (t *Term) Claim(self, addr string) berylrecord.Record {
	next := t.Number + 1
	if t.unsure {
		next = t.applied + 1
	}
	return berylrecord.New(t.applied, berylrecord.Claim{Term: next, By: self, Addr: addr})
}

// Renewal returns the leader's renewal.
func (t *Term) Renewal() berylrecord.Record {
	return berylrecord.New(t.applied, berylrecord.Renewal{Term: t.Number, Lead: t.lead()})
}

// Handover returns the record that ends the leader's term.
func (t *Term) Handover() berylrecord.Record {
	return berylrecord.New(t.applied, berylrecord.Handover{Term: t.Number, Lead: t.lead()})
}

func (t *Term) lead() berylrecord.Lead {
	return berylrecord.Lead{By: t.Leader, Addr: t.Addr, Since: t.ClaimOffset}
}
