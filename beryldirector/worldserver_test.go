package beryldirector

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"berylglade/berylexecutor"
	"berylglade/berylreport"
)

// worldGang is one run of a gang, whose members end together.
type worldGang struct {
	startedAt time.Time
	members   int
	doneAt    time.Time
	broken    bool
}

// gang returns the run of the gang that a task belongs to, or nil.
func (w *world) gang(k berylreport.Key) *worldGang {
	step := k.Task[:strings.LastIndex(k.Task, ".")]
	if w.size[step] == 0 {
		return nil
	}
	name := step + "#" + strconv.Itoa(k.Run)
	if w.gangs[name] == nil {
		w.gangs[name] = &worldGang{startedAt: w.now}
	}
	return w.gangs[name]
}

// worldServer simulates one incarnation of a backend server.
type worldServer struct {
	w            *world
	name         string
	startedAt    time.Time
	up           bool
	heartbeatSeq int64
	// leavesAt is when it leaves, if it has announced that; zero otherwise.
	leavesAt time.Time
	fence    int64
	deadline int64
	runs     map[berylreport.Key]time.Time
	ends     []berylreport.End
	count    int64
	// lastEndBeforeExpiry is the number of the last end before the lease expired. Such
	// ends don't count when they are acknowledged later.
	lastEndBeforeExpiry int64
	stopped             map[string]int
}

func (s *worldServer) clock() int64 { return s.w.now.Sub(s.startedAt).Milliseconds() + 1 }

// crash stops the backend server and ends all of its runs.
func (s *worldServer) crash() {
	s.up = false
	for k := range s.runs {
		s.w.ended(k, s.name)
		if g := s.w.gang(k); g != nil {
			g.broken = true
		}
	}
	clear(s.runs)
}

// advance ends the runs whose work is done, whose lease has expired or whose gang
// failed.
func (s *worldServer) advance() {
	if !s.up {
		return
	}
	if s.clock() > s.deadline {
		s.lastEndBeforeExpiry = s.count
	}
	for _, k := range s.keys() {
		at := s.runs[k]
		g := s.w.gang(k)
		switch {
		case s.clock() > s.deadline:
			s.end(k, berylreport.LeaseExpired)
		case g != nil && g.broken:
			s.end(k, berylreport.GangBroken)
		case g != nil && g.doneAt.IsZero() && s.w.now.Sub(g.startedAt) > _worldGangTimeout:
			s.end(k, berylreport.GangIncomplete)
		case g != nil && !g.doneAt.IsZero() && s.w.now.After(g.doneAt):
			s.end(k, berylreport.Done)
		case g == nil && s.w.now.After(at):
			s.end(k, berylreport.Done)
		}
	}
}

func (s *worldServer) keys() []berylreport.Key {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b berylreport.Key) int { return strings.Compare(a.Task, b.Task) })
}

func (s *worldServer) end(k berylreport.Key, how berylreport.EndReason) {
	delete(s.runs, k)
	s.count++
	s.ends = append(s.ends, berylreport.End{Key: k, Seq: s.count, Reason: how})
	s.stopped[k.Task] = max(s.stopped[k.Task], k.Run)
	s.w.ended(k, s.name)
	if g := s.w.gang(k); g != nil && how != berylreport.Done {
		g.broken = true
	}
	s.w.note("%s %s#%d ends %s", s.name, k.Task, k.Run, how)
}

func (w *world) ended(k berylreport.Key, _ string) { delete(w.running, k.Task) }

// apply carries out a call.
func (s *worldServer) apply(c berylexecutor.Call) (berylexecutor.Listing, error) {
	s.advance()
	switch c := c.(type) {
	case berylexecutor.StartCall:
		return s.applyStart(c)
	case berylexecutor.StopCall:
		if !s.allow(c.Fence) {
			return berylexecutor.Listing{Clock: s.clock()}, berylexecutor.ErrFenced
		}
		if _, ok := s.runs[c.Key]; ok {
			s.end(c.Key, berylreport.Stopped)
		}
		s.stopped[c.Task] = max(s.stopped[c.Task], c.Run)
		return berylexecutor.Listing{Clock: s.clock()}, nil
	case berylexecutor.RenewCall:
		return s.applyRenew(c)
	}
	return berylexecutor.Listing{}, nil
}

func (s *worldServer) allow(fence int64) bool {
	if fence < s.fence {
		return false
	}
	s.fence = fence
	return true
}

func (s *worldServer) applyStart(c berylexecutor.StartCall) (berylexecutor.Listing, error) {
	l := berylexecutor.Listing{Clock: s.clock()}
	if !s.allow(c.Fence) {
		return l, berylexecutor.ErrFenced
	}
	if _, ok := s.runs[c.Key]; ok {
		return l, nil
	}
	if s.stopped[c.Task] >= c.Run {
		return l, berylexecutor.ErrSuperseded
	}
	if c.Deadline < s.clock() {
		return l, berylexecutor.ErrRefused
	}
	if len(s.runs) >= _worldSlots {
		return l, berylexecutor.ErrRefused
	}
	s.deadline = max(s.deadline, c.Deadline)
	if other, ok := s.w.running[c.Task]; ok {
		s.w.fail("task %s#%d starts on %s while it runs on %s", c.Task, c.Run, s.name, other)
	}
	if s.w.done[c.Task] {
		s.w.fail("task %s#%d starts on %s after its end was acknowledged", c.Task, c.Run, s.name)
	}
	s.w.running[c.Task] = s.name
	s.runs[c.Key] = s.w.now.Add(time.Duration(500+s.w.r.IntN(3500)) * time.Millisecond)
	if g := s.w.gang(c.Key); g != nil {
		g.members++
		if g.members == s.w.size[c.Task[:strings.LastIndex(c.Task, ".")]] {
			g.doneAt = s.w.now.Add(2 * time.Second)
		}
	}
	s.w.note("%s starts %s#%d", s.name, c.Task, c.Run)
	return l, nil
}

func (s *worldServer) applyRenew(c berylexecutor.RenewCall) (berylexecutor.Listing, error) {
	if !s.allow(c.Fence) {
		return berylexecutor.Listing{Clock: s.clock()}, berylexecutor.ErrFenced
	}
	s.deadline = max(s.deadline, c.Deadline)
	for len(s.ends) > 0 && s.ends[0].Seq <= c.Acked {
		if s.ends[0].Reason == berylreport.Done && s.ends[0].Seq > s.lastEndBeforeExpiry {
			s.w.done[s.ends[0].Task] = true
		}
		s.ends = s.ends[1:]
	}
	l := berylexecutor.Listing{Clock: s.clock(), StartedAt: s.startedAt.UnixMilli()}
	for _, k := range s.keys() {
		l.Runs = append(l.Runs, berylreport.Run{Key: k})
	}
	l.Ends = append(l.Ends, s.ends...)
	if n := s.w.maxEnds; n > 0 && len(l.Ends) >= n {
		l.Ends, l.Truncated = l.Ends[:n], true
	}
	return l, nil
}
