package berylsidecar

import (
	"errors"
	"time"

	"berylglade/berylexecutor"
	"berylglade/berylkeeper"
	"berylglade/berylreport"
)

// logIncarnation logs a change of the backend server's instance or incarnation.
func (s *Sidecar) logIncarnation() {
	p := s.keeper.Incarnation()
	if p != s.incarnation {
		s.cfg.Log.Info("backend server", "instance", p.Instance, "born", p.StartedAt, "before", s.incarnation.Instance)
		s.incarnation = p
	}
}

func (s *Sidecar) logOrders(now time.Time, o berylreport.Orders, r berylreport.Receipt) {
	if len(o.Start) == 0 && len(o.Stop) == 0 {
		return
	}
	s.cfg.Log.Info("orders", "epoch", o.Epoch, "seen", r.Epoch, "instance", o.Incarnation.Instance, "basis", o.Basis,
		"clock", s.keeper.BackendClock(now), "late", r.Late, "start", keys(o.Start), "stop", o.Stop)
}

func keys(starts []berylreport.Start) []berylreport.Key {
	list := make([]berylreport.Key, 0, len(starts))
	for _, s := range starts {
		list = append(list, s.Key)
	}
	return list
}

// logOutcome logs each start and stop call, and failed listings.
func (s *Sidecar) logOutcome(o berylkeeper.Outcome) {
	switch c := o.Call.(type) {
	case berylexecutor.StartCall:
		s.cfg.Log.Info("start sent", "task", c.Task, "run", c.Run, "deadline", c.Deadline, "clock", o.Listing.Clock, "err", errText(o.Err))
	case berylexecutor.StopCall:
		s.cfg.Log.Info("stop sent", "task", c.Task, "run", c.Run, "err", errText(o.Err))
	case berylexecutor.RenewCall:
		down, known := errors.Is(o.Err, berylexecutor.ErrDown), s.down
		s.down = down
		if down && (known || c.Instance == "") {
			// The backend server has not started yet, which is no news.
			return
		}
		if o.Err != nil {
			s.cfg.Log.Warn("listing failed", "fence", c.Fence, "err", errText(o.Err))
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
