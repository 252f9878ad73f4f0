// Package beryloutlook decides from the load whether a job is worth accepting.
//
// The leader publishes an [Outlook], a small summary of the room and of the work ahead, to
// the other entries. [Outlook.Check] finds the jobs that are known not to be servable, so
// that their clients learn it at once: jobs of a shape that no backend server has, and jobs
// that could not even be late because of everything ahead of them. Whatever the Outlook does
// not know is accepted.
package beryloutlook

import (
	"fmt"
	"slices"
	"time"

	"berylglade/berylfit"
	"berylglade/berylpolicy"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// Outlook is the leader's summary of the load. The zero value knows nothing.
type Outlook struct {
	// Epoch is that of the leader.
	Epoch int64 `cbor:"e"`
	// Services are ordered by name.
	Services []Service `cbor:"s,omitempty"`
	// Urgent is what the unfinished urgent jobs of each client account need together, in
	// accelerators.
	Urgent map[string]int `cbor:"u,omitempty"`
}

// Service is the summary of one group of backend servers.
type Service struct {
	Name string `cbor:"n"`
	// Complete means that all backend servers are known: each VM that has registered has
	// reported, and none is missing, leaving or starting.
	Complete bool `cbor:"c,omitempty"`
	// Partial means that backend servers may not have reported to this leader yet. Then
	// Accelerators is too low and Work too high to reject a job for its time.
	Partial bool `cbor:"p,omitempty"`
	// Hosts are the backend servers by shape.
	Hosts []Hosts `cbor:"h,omitempty"`
	// Accelerators is the number that is not held by long-running tasks.
	Accelerators int `cbor:"a,omitempty"`
	// Work is the work ahead, at most one for each priority and Due.
	Work []Work `cbor:"w,omitempty"`
}

// Hosts are equal backend servers.
type Hosts struct {
	Count  int                 `cbor:"n"`
	Rack   string              `cbor:"r,omitempty"`
	Labels []string            `cbor:"l,omitempty"`
	Total  berylroom.Resources `cbor:"t"`
}

// Work is the sum of accepted work that is expected to run.
type Work struct {
	Priority int `cbor:"p"`
	// Due is a bound, as of [DueBound], on the time until it is due.
	Due time.Duration `cbor:"d"`
	// Run is the expected run time left, times the accelerators.
	Run time.Duration `cbor:"r"`
}

// Request is a job that a client submits.
type Request struct {
	Work  *berylwork.Work
	Queue berylpolicy.Queue
	// Guaranteed is the number of accelerators that the client account is guaranteed.
	Guaranteed int
	Account    string
}

// Rejection tells why a job is known not to be servable.
type Rejection struct {
	Reason string
	// Wait is when there may be room for the job.
	Wait time.Duration
	// Room is how long the job would keep the whole service busy.
	Room time.Duration
}

// Check returns a rejection if the job is known not to be servable, as of age after the
// Outlook was made; nil otherwise.
func (o *Outlook) Check(age time.Duration, r Request) *Rejection {
	if o == nil || age > _maxAge || r.Work.Times > 0 {
		return nil
	}
	i := slices.IndexFunc(o.Services, func(s Service) bool { return s.Name == r.Queue.Service })
	if i < 0 {
		return nil
	}
	s := &o.Services[i]
	if step := s.neverFits(r.Work); step >= 0 {
		return &Rejection{Reason: fmt.Sprintf("no backend server has the capacity or label for step %d", step), Wait: _maxWait}
	}
	if o.guaranteed(r) || longRunning(r.Work) {
		return nil
	}
	return s.checkTime(age, r)
}

// guaranteed reports whether the job is urgent and within the client account's guarantee.
func (o *Outlook) guaranteed(r Request) bool {
	return r.Queue.Priority == 0 && o.Urgent[r.Account]+r.Work.PeakAccelerators() <= r.Guaranteed
}

func longRunning(w *berylwork.Work) bool {
	return slices.ContainsFunc(w.Steps, func(s berylwork.Step) bool { return s.LongRunning })
}

// neverFits returns the first step that does not fit although nothing else runs, or -1.
func (s *Service) neverFits(w *berylwork.Work) int {
	if !s.Complete {
		return -1
	}
	var hosts []berylfit.Host
	for _, h := range s.Hosts {
		for range h.Count {
			hosts = append(hosts, berylfit.Host{Rack: h.Rack, Labels: h.Labels, Total: h.Total, Free: h.Total})
		}
	}
	for i, step := range w.Steps {
		demand := berylfit.Demand{Count: 1, Resources: step.Resources(), Label: step.Label, MaxPerHost: step.MaxPerHost}
		if step.Gang {
			demand.Count = step.Count
		}
		if _, ok := demand.Place(hosts); !ok {
			return i
		}
	}
	return -1
}

// checkTime rejects a job that would exceed its limit although the work ahead took only
// _certainShare of the expected time.
func (s *Service) checkTime(age time.Duration, r Request) *Rejection {
	path := criticalPath(r.Work)
	if path <= 0 || s.Accelerators <= 0 || s.Partial {
		return nil
	}
	objective := time.Duration(float64(path)*r.Queue.Stretch) + r.Queue.Target
	limit := _lateFactor * objective
	wait := s.wait(r.Queue.Priority, objective) - age
	if time.Duration(float64(wait)*_certainShare)+path <= limit {
		return nil
	}
	return &Rejection{
		Reason: fmt.Sprintf("the work ahead takes %s, and the job is useless after %s", wait.Round(time.Millisecond), limit.Round(time.Millisecond)),
		Wait:   min(max(wait-limit+path, 0), _maxWait),
		Room:   runTime(r.Work) / time.Duration(s.Accelerators),
	}
}

// wait returns how long the service takes for the work that goes before a job that is due
// after due.
func (s *Service) wait(priority int, due time.Duration) time.Duration {
	var run time.Duration
	for _, w := range s.Work {
		if w.Priority < priority || (w.Priority == priority && w.Due <= due) {
			run += w.Run
		}
	}
	return run / time.Duration(s.Accelerators)
}

// criticalPath returns the declared time of the longest chain of steps.
func criticalPath(w *berylwork.Work) time.Duration {
	paths := make([]int64, len(w.Steps))
	var longest int64
	for i, step := range w.Steps {
		for _, before := range step.After {
			if before < i {
				paths[i] = max(paths[i], paths[before])
			}
		}
		paths[i] += step.Estimate
		longest = max(longest, paths[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// runTime returns the declared run time of all tasks, times their accelerators.
func runTime(w *berylwork.Work) time.Duration {
	var sum int64
	for _, s := range w.Steps {
		sum += s.Estimate * int64(s.Count*max(s.Need.Accelerators, 1))
	}
	return time.Duration(sum) * time.Millisecond
}

// DueBound returns the least bound that is not below d, which is until work is due. The
// bounds are powers of two, so that a summary has few of them. Work that is overdue has the
// bound zero.
func DueBound(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	bound := time.Second
	for bound < d && bound < _maxDue {
		bound *= 2
	}
	return bound
}

// Add adds work to the summary.
func (s *Service) Add(priority int, due, run time.Duration) {
	bound := DueBound(due)
	for i := range s.Work {
		if s.Work[i].Priority == priority && s.Work[i].Due == bound {
			s.Work[i].Run += run
			return
		}
	}
	s.Work = append(s.Work, Work{Priority: priority, Due: bound, Run: run})
}

// AddHost adds a backend server to the summary.
func (s *Service) AddHost(rack string, labels []string, total berylroom.Resources) {
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if h.Rack == rack && h.Total == total && slices.Equal(h.Labels, labels) {
			h.Count++
			return
		}
	}
	s.Hosts = append(s.Hosts, Hosts{Count: 1, Rack: rack, Labels: labels, Total: total})
}

const (
	// _maxAge is the age from which an Outlook is not used. The load may change within
	// seconds, and a new leader may not know it yet.
	_maxAge = 3 * time.Second
	// _lateFactor is how many times its objective a job may take and still be of use.
	_lateFactor = 3
	// _certainShare is the share of the expected wait that counts: declared times are up
	// to half too long, and some of the jobs ahead are cancelled.
	_certainShare = 0.5
	// _maxWait bounds the time after which a client is told to return.
	_maxWait = 30 * time.Second
	// _maxDue is the highest bound on the time until work is due.
	_maxDue = 1024 * time.Second
)
