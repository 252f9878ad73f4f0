package berylsidecar

import (
	"context"
	"time"

	"berylglade/berylreport"
	"berylglade/berylrpc"
)

// report sends a report if the state has changed or the report interval has passed.
func (s *Sidecar) report(now time.Time) {
	if s.reporting || !s.keeper.Reportable(now) {
		return
	}
	if now.Sub(s.lastReport) < max(_minReportInterval, s.keeper.ListingPause()) {
		return
	}
	if now.Sub(s.lastReport) < _reportInterval && !s.keeper.Changed() {
		return
	}
	if s.leader == s.relay && s.unreachable != "" && !s.relaying(now) {
		s.leader = s.unreachable
	}
	addr := s.reportTarget()
	if addr == "" {
		s.refreshEntries(now)
		return
	}
	s.keeper.Changed()
	s.reporting = true
	s.lastReport = now
	r := s.keeper.Report(now)
	r.Relay = s.relaying(now)
	sent := s.keeper.BackendClock(now)
	ctx, cancel := context.WithTimeout(s.ctx, _reportTimeout)
	s.cancelReport = cancel
	go s.sendReport(ctx, addr, r, sent)
}

// followLeader switches to an announced leader and reports to it immediately. A
// report still in flight to the previous leader is cancelled.
func (s *Sidecar) followLeader(now time.Time, l berylreport.Lead) {
	if l.Epoch < s.keeper.Epoch() || l.Leader == s.leader {
		return
	}
	s.cfg.Log.Info("leader announced", "addr", l.Leader, "epoch", l.Epoch, "before", s.leader)
	s.leader = l.Leader
	s.unreachable, s.relay = "", ""
	s.misses = 0
	s.lastReport = now.Add(-_reportInterval)
	if s.reporting {
		s.cancelReport()
	}
}

func (s *Sidecar) reportTarget() string {
	if s.leader != "" {
		return s.leader
	}
	if len(s.entries) == 0 {
		return ""
	}
	return s.entries[s.nextEntry%len(s.entries)]
}

func (s *Sidecar) sendReport(ctx context.Context, addr string, r berylreport.Report, sent int64) {
	a, err := berylrpc.Call[berylreport.Report, berylreport.Answer](ctx, s.client, addr, berylreport.MethodReport, &r)
	m := reportAnswered{incarnation: r.Incarnation, sent: sent, addr: addr, err: err}
	if a != nil {
		m.answer = *a
	}
	s.loop.Tell(m)
}

// applyAnswer processes the answer to a report. It switches to the leader that the
// answer names, or to the next entry if the call has failed or no leader is known.
func (s *Sidecar) applyAnswer(now time.Time, m reportAnswered) {
	s.reporting = false
	s.cancelReport()
	announced := s.leader != "" && s.leader != m.addr
	switch {
	case m.err != nil && announced:
		return
	case m.err != nil:
		s.leaderUnreachable(now, m.addr, m.err)
		return
	}
	s.keeper.Answer(m.answer, m.incarnation, m.sent)
	if announced {
		return
	}
	if m.answer.FromLeader {
		if s.leader != m.addr {
			s.cfg.Log.Info("leader found", "addr", m.addr, "epoch", m.answer.Epoch, "misses", s.misses)
		}
		s.leader = m.addr
		s.misses = 0
		s.noteRelay(m.addr, m.answer.Leader)
		return
	}
	s.misses++
	known := m.answer.Leader != "" && m.answer.Leader != m.addr && m.answer.Epoch >= s.keeper.Epoch()
	if known && (!s.relaying(now) || m.answer.Leader != s.unreachable) {
		s.leader = m.answer.Leader
		s.lastReport = now.Add(-_reportInterval)
		return
	}
	s.tryNextEntry(now)
}

// relaying reports whether reports are to be relayed, because the leader did not answer
// this agent lately. It may answer others: two failure domains can be cut off from each
// other while a third one reaches both.
func (s *Sidecar) relaying(now time.Time) bool {
	return s.unreachable != "" && now.Sub(s.unreachableAt) < _directInterval
}

// noteRelay notes that the leader has answered a report that was sent to addr.
func (s *Sidecar) noteRelay(addr, leader string) {
	if addr == leader || s.unreachable == "" {
		s.unreachable, s.relay = "", ""
		return
	}
	s.relay = addr
}

func (s *Sidecar) leaderUnreachable(now time.Time, addr string, err error) {
	if s.leader != "" {
		s.cfg.Log.Warn("leader not reached", "addr", addr, "err", err)
	}
	s.misses++
	switch addr {
	case s.relay:
		s.relay = ""
	case s.leader:
		s.unreachable, s.unreachableAt = addr, now
	}
	if s.relay != "" {
		s.leader = s.relay
		s.lastReport = now.Add(-_reportInterval)
		return
	}
	s.tryNextEntry(now)
}

// tryNextEntry selects the next entry for the search of the leader. The first round
// over all entries is fast; further attempts follow at the report interval.
func (s *Sidecar) tryNextEntry(now time.Time) {
	s.leader = ""
	s.nextEntry++
	if s.misses <= len(s.entries) {
		s.lastReport = now.Add(_nextEntryDelay - _reportInterval)
	}
	s.refreshEntries(now)
}

// refreshEntries reads the addresses of all entries from the store, at most once per
// second and only while the leader is unknown.
func (s *Sidecar) refreshEntries(now time.Time) {
	if now.Sub(s.lastLookup) < _minLookupInterval || (s.misses < _missesBeforeLookup && len(s.entries) > 0) {
		return
	}
	s.lastLookup = now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, _lookupTimeout)
		defer cancel()
		addrs, err := s.cfg.Entries.Addresses(ctx)
		if err != nil {
			s.cfg.Log.Warn("entries not read", "err", err)
			return
		}
		s.loop.Tell(entriesListed{addrs: addrs})
	}()
}
