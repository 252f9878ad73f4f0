package berylscheduler

import (
	"fmt"

	"berylglade/berylplacement"
)

// tryReject rejects a job that can never run.
func (s *Scheduler) tryReject(j *job) ([]Action, result) {
	reason := s.infeasibleReason(j)
	if reason == "" {
		return nil, _heldBack
	}
	s.queue.Remove(j.ID)
	j.stage = _idle
	j.rejected = true
	s.counts.Rejected++
	return []Action{Reject{Job: j.ID, Reason: reason}}, _resolved
}

// infeasibleReason returns why a job can never run, or an empty string.
func (s *Scheduler) infeasibleReason(j *job) string {
	if err := j.Check(); err != nil {
		return err.Error()
	}
	whole := j.Shape.Times(j.Tasks)
	if q := s.cfg.Accounts[j.Account].Quota; exceeds(whole, q) {
		return fmt.Sprintf("the job needs %v; the quota of account %s is %v", whole, j.Account, q)
	}
	if s.now.Sub(s.startedAt) < s.opts.MissingWorkerTimeout {
		return ""
	}
	k := s.requestKind(j)
	reason, ok := s.infeasible[k]
	if !ok {
		reason = s.neverFitsReason(j)
		s.infeasible[k] = reason
	}
	return reason
}

// neverFitsReason returns why a job does not fit even on an empty cluster, or an
// empty string.
func (s *Scheduler) neverFitsReason(j *job) string {
	r := s.request(j, berylplacement.Total)
	r.Exclude = nil
	if _, ok := s.placement.Find(r); ok {
		return s.blockedByGuarantees(j)
	}
	return fmt.Sprintf("%d tasks of %v with adjacency %v do not fit on the known workers", j.Tasks, j.Shape, j.Adjacent)
}
