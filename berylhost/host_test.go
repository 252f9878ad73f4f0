package berylhost

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylshape"
)

const _hold = 10 * time.Second

func reserve(term int64, job string, attempt, tasks int) berylmessage.Reserve {
	return berylmessage.Reserve{
		Term: term, Job: job, Attempt: attempt, Tasks: tasks, Shape: berylshape.Shape{Accelerators: 1}, Hold: _hold,
	}
}

// Guards against accepting commands of a deposed leader or of an attempt that
// has ended, and against two attempts of one job on one host.
func TestReserveRejects(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name  string
		give  berylmessage.Reserve
		after time.Duration
		want  berylerror.Kind
	}{
		{name: "fits", give: reserve(5, "new", 1, 2)},
		{name: "too large", give: reserve(5, "new", 1, 3), want: berylerror.NotRun},
		{name: "fits after expiry", give: reserve(5, "new", 1, 5), after: _hold},
		{name: "old term", give: reserve(4, "new", 1, 1), want: berylerror.Conflict},
		{name: "repeated", give: reserve(5, "held", 2, 3)},
		{name: "repeated with another size", give: reserve(5, "held", 2, 1), want: berylerror.NotRun},
		{name: "older attempt", give: reserve(5, "held", 1, 1), want: berylerror.NotRun},
		{name: "newer attempt replaces a reservation", give: reserve(5, "held", 3, 5)},
		{name: "newer attempt of a part in use", give: reserve(5, "used", 2, 1), want: berylerror.NotRun},
		{name: "ended attempt", give: reserve(5, "ended", 1, 1), want: berylerror.NotRun},
		{name: "attempt after an ended one", give: reserve(5, "ended", 2, 1)},
		{name: "attempt that was only reserved", give: reserve(5, "released", 1, 1)},
		{name: "ended attempt is forgotten after its retention", give: reserve(5, "ended", 1, 1), after: 2 * _endedRetention},
		{name: "no tasks", give: reserve(5, "new", 1, 0), want: berylerror.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := New(berylshape.Shape{Accelerators: 8})
			is.NoErr(h.Reserve(start, reserve(5, "held", 2, 3)))
			is.NoErr(h.Reserve(start, reserve(5, "used", 1, 3)))
			_, err := h.Commit(start, 5, Key{Job: "used", Attempt: 1})
			is.NoErr(err)
			is.NoErr(h.Reserve(start, reserve(5, "ended", 1, 1)))
			_, err = h.Commit(start, 5, Key{Job: "ended", Attempt: 1})
			is.NoErr(err)
			h.Release(start, Key{Job: "ended", Attempt: 1})
			is.NoErr(h.Reserve(start, reserve(5, "released", 1, 1)))
			h.Release(start, Key{Job: "released", Attempt: 1})
			err = h.Reserve(start.Add(tt.after), tt.give)
			is.Equal(err != nil, tt.want != 0)
			if tt.want != 0 {
				is.Equal(berylerror.Of(err), tt.want)
			}
		})
	}
}

// Guards against starting on a reservation that has expired and may have been
// given to another gang.
func TestCommitNeedsReservation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h := New(berylshape.Shape{Accelerators: 8})
	key := Key{Job: "j", Attempt: 1}
	is.NoErr(h.Reserve(now, reserve(1, "j", 1, 8)))
	_, err := h.Commit(now.Add(_hold), 1, key)
	is.Equal(berylerror.Of(err), berylerror.NotRun)
	is.NoErr(h.Reserve(now, reserve(1, "j", 1, 8)))
	for range 2 {
		_, err = h.Commit(now, 2, key)
		is.NoErr(err)
	}
	is.Equal(h.Free(now.Add(time.Hour)), berylshape.Shape{})
}

// Guards against allocating more than the host has, against two attempts of one
// job in use, and against terms that decrease, in any order of commands.
func TestNeverExceedsHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		total := berylshape.Shape{Accelerators: 8}
		h := New(total)
		term := int64(0)
		key := func(t *rapid.T) Key {
			return Key{Job: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"), Attempt: rapid.IntRange(1, 4).Draw(t, "attempt")}
		}
		ended := map[Key]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				k := key(t)
				r := reserve(rapid.Int64Range(0, 3).Draw(t, "term"), k.Job, k.Attempt, rapid.IntRange(1, 8).Draw(t, "tasks"))
				if h.Reserve(now, r) == nil && (ended[k] || r.Term < term) {
					t.Fatalf("reservation of %v at term %d was granted", k, r.Term)
				}
			},
			"commit": func(t *rapid.T) {
				k := key(t)
				at := rapid.Int64Range(0, 3).Draw(t, "term")
				if _, err := h.Commit(now, at, k); err == nil && (ended[k] || at < term) {
					t.Fatalf("commit of %v at term %d was accepted", k, at)
				}
			},
			"release": func(t *rapid.T) {
				k := key(t)
				ended[k] = ended[k] || (h.parts[k].Tasks > 0 && h.parts[k].Expires.IsZero())
				h.Release(now, k)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if h.Term() < term {
					t.Fatalf("term went from %d to %d", term, h.Term())
				}
				term = h.Term()
				used := berylshape.Shape{}
				jobs := map[string]int{}
				for k, p := range h.parts {
					if p.Expires.IsZero() || now.Before(p.Expires) {
						used = used.Add(p.Shape.Times(p.Tasks))
						jobs[k.Job]++
					}
				}
				if !used.Fits(total) {
					t.Fatalf("%v allocated of %v", used, total)
				}
				for job, n := range jobs {
					if n > 1 {
						t.Fatalf("job %s has %d attempts on the host", job, n)
					}
				}
			},
		})
	})
}
