// Package berylterm determines the leader from the records of the control
// stream. A process becomes the leader of a numbered term by a claim, a record
// that requests the leadership for this term and is valid only if it meets the
// rules of this package.
//
// A [Term] applies records in offset order; every reader that applies the same
// records reaches the same result. It also decides when a process may claim the
// next term and whether a leader's lease is still valid. For both it has to be
// told of each read of the stream: [Term.Truncate] with the log's first offset,
// then [Term.Apply] for each record, then [Term.Confirm]; or [Term.ReadFailed]
// if the read failed.
//
// If the log has dropped the claim of the current term, a new reader learns the
// term from any record of the leader, as only a process whose claim was valid
// writes such records. Until it has read a valid claim, there may be a higher
// term than the highest one that it has read. If it claims the leadership
// itself in this state, it chooses a term that is higher than any earlier one:
// each claim takes one offset of the stream, so no term is above the offset of
// its claim.
package berylterm

import (
	"time"

	"berylglade/berylrecord"
)

const (
	// Lease is the time for which a candidate must have read the stream without
	// a record of the leader before it claims, and for which a leader may act
	// after the start of its last read that reached the end of the stream.
	Lease = 4 * time.Second
	// RenewEvery is the interval of renewals. Three lost renewals do not depose
	// the leader.
	RenewEvery = time.Second
	// _maxPendingClaims bounds the claims that wait for a record of their term.
	_maxPendingClaims = 8
	// _pendingClaimTTL bounds the time for which they wait, as the catalog stores
	// earlier job states for each. A leader whose claim is valid writes a renewal
	// within RenewEvery.
	_pendingClaimTTL = 2 * Lease
)

// Term is the leadership as of the last applied record. The zero value has read
// nothing.
type Term struct {
	// Number is the current term, or zero before the first one.
	Number int64
	// Leader is the name of the leader and Addr its address. They are empty if the
	// leader is not known.
	Leader string
	Addr   string
	// ClaimOffset is the offset of the leader's claim, or zero if it is not known.
	ClaimOffset int64
	// HandedOver is set once the leader has handed over. There is no leader from
	// then until the next claim.
	HandedOver bool

	// lastLeaderOffset is the offset of the leader's last record.
	lastLeaderOffset int64
	// applied is the last offset that was read. If unread records were dropped,
	// first is the first offset after them, otherwise zero.
	applied int64
	first   int64
	// uncertain is set when unread records were dropped, until a valid claim is
	// read.
	uncertain bool
	pending   []pendingClaim
	// lastPending is the offset of the last pending claim. As that claim may be
	// valid, a claim whose base is lower is pending too.
	lastPending int64

	// silentSince is the time at which the last record of the leader was read, or
	// at which the current sequence of successful reads began.
	silentSince time.Time
	// confirmedAt is the time at which the last read that reached the end of the
	// stream began.
	confirmedAt time.Time
	// renewedAt is the time at which a claim or renewal of the leader was last
	// read.
	renewedAt time.Time
}

// pendingClaim is a claim that cannot be accepted or rejected yet.
type pendingClaim struct {
	offset int64
	claim  berylrecord.Claim
	readAt time.Time
}

// Outcome is the effect of a record.
type Outcome struct {
	// Valid is set for an accepted claim and for a record of the current term.
	Valid bool
	// Changed is set if Number, Leader, Addr or HandedOver changed.
	Changed bool
	// Pending is set for a claim that a later record may prove valid.
	Pending bool
	// VoidAfter is set if the record gives the offset of a valid claim that this
	// reader had not accepted. Records of lower terms after this offset are
	// invalid.
	VoidAfter *int64
}

// Truncate applies the log's retention; first is the first offset that the log
// still has. It reports whether the leader has become unknown, because records
// were dropped before they were read.
func (t *Term) Truncate(first int64) bool {
	if first <= t.applied+1 {
		return false
	}
	t.first = first
	t.applied = first - 1
	t.uncertain = true
	t.pending = nil
	t.lastPending = 0
	t.silentSince = time.Time{}
	t.confirmedAt = time.Time{}
	changed := t.Leader != ""
	t.Leader, t.Addr, t.ClaimOffset, t.HandedOver = "", "", 0, false
	return changed
}

// Apply applies the record at an offset. Offsets increase from call to call.
func (t *Term) Apply(now time.Time, offset int64, r berylrecord.Record) Outcome {
	t.applied = max(t.applied, offset)
	switch body := r.Body.(type) {
	case berylrecord.Claim:
		return t.applyClaim(now, offset, r.Base, body)
	case berylrecord.Renewal:
		out := t.applyLeaderRecord(now, offset, body.Term, body.Lead)
		if out.Valid {
			t.renewedAt = now
		}
		return out
	case berylrecord.Handover:
		out := t.applyLeaderRecord(now, offset, body.Term, body.Lead)
		if out.Valid && !t.HandedOver {
			t.HandedOver = true
			out.Changed = true
		}
		return out
	case berylrecord.JobState:
		if body.Term == 0 {
			return Outcome{}
		}
		return t.applyLeaderRecord(now, offset, body.Term, berylrecord.Lead{})
	default:
		return Outcome{}
	}
}

// applyClaim applies a claim. Its term has to be above the current one but not
// exactly one more, as a candidate to which the highest term is uncertain skips
// some. A term above the offset is rejected: no correct candidate chooses one,
// and a very high term would leave no higher ones.
func (t *Term) applyClaim(now time.Time, offset, base int64, c berylrecord.Claim) Outcome {
	switch {
	case c.By == "" || base < 0 || base >= offset || c.Term > offset:
		return Outcome{}
	case c.Term <= t.Number:
		return Outcome{}
	case base < t.first-1 || (t.uncertain && max(t.lastLeaderOffset, t.lastPending) > base):
		return t.deferClaim(now, offset, c)
	case t.lastLeaderOffset > base:
		return Outcome{}
	}
	t.Number, t.Leader, t.Addr, t.ClaimOffset, t.HandedOver = c.Term, c.By, c.Addr, offset, false
	t.uncertain = false
	t.pending = nil
	t.markLeaderActive(now, offset)
	t.renewedAt = now
	return Outcome{Valid: true, Changed: true}
}

// deferClaim stores a claim until a record of its term proves it valid. Either its
// base lies before the first known record, or a leader's record or a pending
// claim lies between base and claim that other readers may have dropped as a
// duplicate.
func (t *Term) deferClaim(now time.Time, offset int64, c berylrecord.Claim) Outcome {
	t.lastPending = offset
	t.prunePending(now)
	if len(t.pending) == _maxPendingClaims {
		return Outcome{}
	}
	t.pending = append(t.pending, pendingClaim{offset: offset, claim: c, readAt: now})
	return Outcome{Pending: true}
}

// applyLeaderRecord applies a record that only the leader of a term writes, which
// proves that the term's claim was valid. If the term is uncertain, the record
// may be of a new term. The leader and the offset of its claim are taken from the
// first record that has them and not from a pending claim: that claim may have
// lost to a dropped one, and its writer must not consider itself the leader.
func (t *Term) applyLeaderRecord(now time.Time, offset, term int64, lead berylrecord.Lead) Outcome {
	switch {
	case term < 1 || term > offset || term < t.Number:
		return Outcome{}
	case term > t.Number && !t.uncertain:
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
		after := max(lead.Since, t.first-1)
		out.VoidAfter = &after
	}
	t.markLeaderActive(now, offset)
	return out
}

func (t *Term) markLeaderActive(now time.Time, offset int64) {
	t.lastLeaderOffset = offset
	t.silentSince = now
}

func (t *Term) prunePending(now time.Time) {
	var remaining []pendingClaim
	for _, p := range t.pending {
		open := p.claim.Term > t.Number || (p.claim.Term == t.Number && t.ClaimOffset == 0)
		if open && now.Sub(p.readAt) < _pendingClaimTTL {
			remaining = append(remaining, p)
		}
	}
	t.pending = remaining
}

// ClaimPending reports whether the claim at an offset may still prove valid.
func (t *Term) ClaimPending(now time.Time, offset int64) bool {
	t.prunePending(now)
	for _, p := range t.pending {
		if p.offset == offset {
			return true
		}
	}
	return false
}

// Uncertain reports whether no valid claim has been read since unread records
// were dropped, so that the highest term is not known for certain.
func (t *Term) Uncertain() bool { return t.uncertain }

// Confirm records that a read has succeeded, after its records were applied.
// Began is the time at which the read began, upto the last offset that was read,
// and caughtUp reports whether that was the end of the stream.
func (t *Term) Confirm(began time.Time, upto int64, caughtUp bool) {
	t.applied = max(t.applied, upto)
	if t.silentSince.IsZero() {
		t.silentSince = began
	}
	if caughtUp {
		t.confirmedAt = began
	}
}

// ReadFailed records that a read failed. A candidate then waits for a full lease
// again, so that the leader can renew first after an outage.
func (t *Term) ReadFailed() { t.silentSince = time.Time{} }

// MayAct reports whether this process is the leader, its lease is still valid and
// it may carry out side effects.
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
		return !t.silentSince.IsZero() && t.confirmedAt.Sub(t.silentSince) >= Lease
	}
}

// Fresh reports whether the end of the stream was read less than a lease ago. A
// process with an older view must not submit jobs either, as it may not know a
// job with the same key.
func (t *Term) Fresh(now time.Time) bool {
	return !t.confirmedAt.IsZero() && now.Sub(t.confirmedAt) < Lease
}

// ShouldRenew reports whether the leader should write a renewal. Its other
// records do not delay the renewal, as only a renewal tells new readers the
// leader's name and address.
func (t *Term) ShouldRenew(now time.Time, self string) bool {
	return t.Leader == self && self != "" && !t.HandedOver && now.Sub(t.renewedAt) >= RenewEvery
}

// Claim returns a record that claims the next term. The caller appends it only if
// MayClaim returns true.
func (t *Term) Claim(self, addr string) berylrecord.Record {
	next := t.Number + 1
	if t.uncertain {
		next = t.applied + 1
	}
	return berylrecord.New(t.applied, berylrecord.Claim{Term: next, By: self, Addr: addr})
}

// Renewal returns a record that renews the leader's lease.
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
