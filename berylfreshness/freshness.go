// Package berylfreshness decides whether calls and tasks may start. They may
// start only if the process has a configuration that was confirmed as the
// newest a short time ago.
//
// An entry confirms its configuration with [Freshness.Confirm] when it has read
// the end of stream config, or with [Freshness.ConfirmDuringOutage] when every
// entry reports that it has read the log since its start but cannot read it
// now. In the latter case no change can have been accepted since, so the newest
// configuration of all entries is still the newest one, and an entry that has
// it may confirm it. The entry relays [Freshness.Confirmation] to agents, which
// apply it with Confirm in turn. Ages are durations, measured from the moment
// at which a process sent the request, so that clocks of different processes
// are never compared and a pause only makes a confirmation look older.
package berylfreshness

import (
	"time"

	"berylglade/berylerror"
	"berylglade/berylmessage"
)

// MaxAge is the highest age of a confirmation with which anything may start. It
// leaves time for one long poll of half a second, one heartbeat and a lost
// message within the few seconds after which a failure domain that is out must
// get no starts.
const MaxAge = 3 * time.Second

// Freshness is the state of one process. The zero value allows no start.
type Freshness struct {
	// confirmedAt is the latest time at which the configuration was known to be
	// the newest.
	confirmedAt time.Time
	// ownOffset is the offset of the process's own configuration.
	ownOffset int64
	// maxOffset is the highest offset reported by any process.
	maxOffset int64
}

// Confirm applies a confirmation. The argument sent is when the request for it
// was sent, and own is the current offset of this process's configuration. An
// entry that has read to the end of the stream passes the time at which the
// read began and a valid confirmation of age zero.
func (f *Freshness) Confirm(now, sent time.Time, c berylmessage.Confirmation, own int64) {
	f.ownOffset = max(f.ownOffset, own)
	f.maxOffset = max(f.maxOffset, c.Offset, own)
	if !c.Valid || c.Age < 0 || sent.After(now) || f.ownOffset < c.Offset {
		return
	}
	if at := sent.Add(-c.Age); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// ConfirmDuringOutage applies the replies to PeerStatus requests that were sent to
// the entries at the given time. The replies are keyed by the entries'
// addresses in the settings and include this process's own. If every listed
// entry has confirmed its configuration before and now cannot read the log, no
// change can have been accepted since, and the newest of their configurations
// counts as confirmed. An entry that has restarted during the outage may have
// lost an accepted change, so an entry sets Valid in its reply only after it
// has read the log itself since its start. ConfirmDuringOutage reports whether
// the condition holds and this process has that newest configuration.
func (f *Freshness) ConfirmDuringOutage(now, sent time.Time, listed []string, replies map[string]berylmessage.PeerStatusReply, own int64) bool {
	newest := int64(0)
	for _, entry := range listed {
		r, ok := replies[entry]
		if !ok || r.Reachable || !r.Valid {
			return false
		}
		newest = max(newest, r.Offset)
	}
	if len(listed) == 0 {
		return false
	}
	f.Confirm(now, sent, berylmessage.Confirmation{Offset: newest, Valid: true}, own)
	return own >= newest
}

// Check returns an error of kind NotRun if nothing may start now.
func (f *Freshness) Check(now time.Time) error {
	switch {
	case f.confirmedAt.IsZero():
		return berylerror.NotRun.Errorf("configuration has not been confirmed yet")
	case f.ownOffset < f.maxOffset:
		return berylerror.NotRun.Errorf("configuration at offset %d is older than offset %d", f.ownOffset, f.maxOffset)
	case now.Sub(f.confirmedAt) > MaxAge:
		return berylerror.NotRun.Errorf("configuration was last confirmed %v ago, limit is %v", now.Sub(f.confirmedAt).Round(time.Millisecond), MaxAge)
	default:
		return nil
	}
}

// Confirmation returns the confirmation that this process relays to others.
func (f *Freshness) Confirmation(now time.Time) berylmessage.Confirmation {
	if f.confirmedAt.IsZero() {
		return berylmessage.Confirmation{Offset: f.ownOffset}
	}
	return berylmessage.Confirmation{Offset: f.ownOffset, Age: max(now.Sub(f.confirmedAt), 0), Valid: true}
}
