package berylcatalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylglade/beryljob"
	"berylglade/berylrecord"
)

// sim is a log with correct writers that may be slow, paused, restarted or
// deposed at any time.
type sim struct {
	rt    *rapid.T
	now   time.Time
	log   []berylrecord.Record
	first int64
	// inFlight are records that were sent and are appended later, in any order.
	inFlight []berylrecord.Record
	procs    []*proc
	names    int
	// leaders has the leadership after each offset as seen by the first process,
	// which reads each record at once and never restarts.
	leaders map[int64]LeaderChanged
}

type proc struct {
	*Catalog
	name string
	// known are the record ids that the process has read; it drops duplicates
	// as beryltail does.
	known map[string]bool
}

const (
	maxReaders   = 4
	refreshAge   = 10 * time.Second
	settleRounds = 16
)

func newSim(rt *rapid.T) *sim {
	s := &sim{rt: rt, now: at(0), first: 1, leaders: map[int64]LeaderChanged{}}
	for range maxReaders {
		s.procs = append(s.procs, s.newProc())
	}
	return s
}

func (s *sim) name(prefix string) string {
	s.names++
	return fmt.Sprintf("%s%d", prefix, s.names)
}

func (s *sim) newProc() *proc {
	return &proc{Catalog: &Catalog{}, name: s.name("p"), known: map[string]bool{}}
}

func (s *sim) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(s.rt, label) }

func (s *sim) send(r berylrecord.Record) {
	r.ID = s.name("r")
	s.inFlight = append(s.inFlight, r)
}

// deliver appends a record in flight to the log. If again is set, a duplicate
// stays in flight.
func (s *sim) deliver(i int, again bool) {
	s.log = append(s.log, s.inFlight[i])
	if !again {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	s.read(s.procs[0], len(s.log))
	p := s.procs[0]
	s.leaders[p.upto] = LeaderChanged{Term: p.Number, Leader: p.Leader, Addr: p.Addr, HandedOver: p.HandedOver}
}

// read makes a process read up to n records.
func (s *sim) read(p *proc, n int) {
	began := s.now
	p.Truncate(s.first)
	for ; n > 0 && p.upto < int64(len(s.log)); n-- {
		offset := p.upto + 1
		r := s.log[offset-1]
		if p.known[r.ID] {
			p.Confirm(began, offset, false)
			continue
		}
		p.known[r.ID] = true
		p.Apply(s.now, offset, r)
		want, ok := s.leaders[offset]
		got := LeaderChanged{Term: p.Number, Leader: p.Leader, Addr: p.Addr, HandedOver: p.HandedOver}
		if ok && !p.Uncertain() && got != want {
			s.rt.Fatalf("%s at offset %d: leader %+v, want %+v", p.name, offset, got, want)
		}
	}
	p.Confirm(began, p.upto, p.upto == int64(len(s.log)))
}

func (s *sim) lead(p *proc) {
	if p.MayClaim(s.now, p.name) {
		s.send(p.Claim(p.name, p.name+":1"))
	}
	if !p.MayAct(s.now, p.name) {
		return
	}
	if p.ShouldRenew(s.now, p.name) {
		s.send(p.Renewal())
	}
	for _, state := range p.DueForRefresh(s.now, refreshAge, 3) {
		s.send(berylrecord.Record{Base: p.upto, Body: berylrecord.JobState{Term: p.Number, State: state}})
	}
}

// work makes the leader append the next state of a job.
func (s *sim) work(p *proc) {
	if !p.MayAct(s.now, p.name) {
		return
	}
	states := p.All()
	if len(states) == 0 {
		return
	}
	st := states[s.pick("job", len(states))]
	switch {
	case st.Phase.Ended():
		return
	case st.Phase == beryljob.Queued:
		st.Phase, st.Attempt = beryljob.Decided, st.Attempt+1
		st.Members = []beryljob.Member{{Agent: p.name, Tasks: 1}}
	default:
		st.Phase = []beryljob.Phase{beryljob.Queued, beryljob.Done, beryljob.Failed}[s.pick("end", 3)]
		st.Members = nil
	}
	s.send(berylrecord.Record{Base: p.upto, Body: berylrecord.JobState{Term: p.Number, State: st}})
}

func (s *sim) submit(p *proc) {
	key := []string{"", "k1", "k2"}[s.pick("key", 3)]
	if _, ok := p.FindKey("acc", key); ok || !p.Fresh(s.now) {
		return
	}
	job := keyed(0, s.name("j"), key)
	s.send(berylrecord.Record{Base: p.upto, Body: job})
}

// trim drops records, but none that a live job needs: retention is much longer
// than the time until a submission is appended and until the leader appends the
// states of live jobs again.
func (s *sim) trim() {
	limit := int64(len(s.log)) + 1
	for _, j := range s.procs[0].jobs {
		if !j.state.Phase.Ended() {
			limit = min(limit, j.offset, s.log[j.offset-1].Base+1)
		}
	}
	if limit > s.first {
		s.first += int64(s.pick("trim", int(limit-s.first)+1))
	}
}

func (s *sim) step() {
	i := s.pick("proc", len(s.procs))
	p := s.procs[i]
	switch s.pick("step", 12) {
	case 0:
		s.now = s.now.Add(time.Duration(s.pick("ms", 5000)) * time.Millisecond)
	case 1, 2:
		s.read(p, s.pick("n", 10))
	case 3:
		s.read(p, len(s.log))
	case 4:
		s.lead(p)
	case 5:
		s.work(p)
	case 6:
		s.submit(p)
	case 7, 8, 9:
		if len(s.inFlight) > 0 {
			s.deliver(s.pick("flight", len(s.inFlight)), s.pick("again", 4) == 0)
		}
	case 10:
		s.trim()
	default:
		switch {
		case i > 0 && s.pick("restart", 2) == 0:
			s.procs[i] = s.newProc()
		case p.MayAct(s.now, p.name) && s.pick("handover", 3) == 0:
			s.send(p.Handover())
		}
	}
}

// settle runs all processes without faults until they have read everything and
// a leader holds its lease.
func (s *sim) settle() {
	for range settleRounds {
		s.now = s.now.Add(time.Second)
		for _, p := range s.procs {
			s.read(p, len(s.log))
			s.lead(p)
		}
		for len(s.inFlight) > 0 {
			s.deliver(0, false)
		}
	}
	for _, p := range s.procs {
		s.read(p, len(s.log))
	}
}

func live(c *Catalog) []beryljob.State {
	return slices.DeleteFunc(c.All(), func(s beryljob.State) bool { return s.Phase.Ended() })
}

// TestReadersAgree guards against readers that end with different leaders or
// jobs, depending on where they started, how they batched their reads and which
// duplicates they read, and against an ended job that becomes live again.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rt)
		for range rapid.IntRange(0, 300).Draw(rt, "steps") {
			s.step()
		}
		s.settle()
		want := s.procs[0]
		if want.Leader == "" || want.HandedOver {
			rt.Fatalf("no leader: %+v", want.Term)
		}
		for _, p := range s.procs[1:] {
			if p.Number != want.Number || p.Leader != want.Leader || p.Addr != want.Addr {
				rt.Fatalf("%s has leader %s of term %d, want %s of term %d", p.name, p.Leader, p.Number, want.Leader, want.Number)
			}
			if got, want := fmt.Sprint(live(p.Catalog)), fmt.Sprint(live(want.Catalog)); got != want {
				rt.Fatalf("%s has live jobs %s, want %s", p.name, got, want)
			}
		}
	})
}
