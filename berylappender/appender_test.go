package berylappender

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/beryllog"
	"berylglade/berylrecord"
)

// fault is what a faulty log does with one append.
type fault uint8

const (
	faultNone fault = iota
	// faultRefused rejects the append without effect.
	faultRefused
	// faultRequestLost has no effect and sends no reply.
	faultRequestLost
	// faultReplyLost adds the records and sends no reply.
	faultReplyLost
	// faultLateEffect adds the records after the sender got an unknown outcome.
	faultLateEffect
	// faultOutage rejects all appends and reads for a while.
	faultOutage
	faultCount
)

const outage = 3 * time.Second

// faultyLog is a log with one stream. Each append takes 2 ms and meets the next
// fault; once they are used up, all requests succeed.
type faultyLog struct {
	mu        sync.Mutex
	faults    []fault
	ids       []string
	first     int64
	sent      []time.Time
	downUntil time.Time
}

func (l *faultyLog) Append(_ context.Context, _ string, records ...[]byte) (int64, error) {
	time.Sleep(2 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, time.Now())
	if time.Now().Before(l.downUntil) {
		return 0, berylerror.NotRun.Errorf("down")
	}
	f := faultNone
	if len(l.faults) > 0 {
		f, l.faults = l.faults[0], l.faults[1:]
	}
	switch f {
	case faultRefused:
		return 0, berylerror.NotRun.Errorf("refused")
	case faultRequestLost:
		return 0, berylerror.Unknown.Errorf("no reply")
	case faultReplyLost:
		l.add(records)
		return 0, berylerror.Unknown.Errorf("no reply")
	case faultLateEffect:
		time.AfterFunc(150*time.Millisecond, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(records)
		})
		return 0, berylerror.Unknown.Errorf("no reply")
	case faultOutage:
		l.downUntil = time.Now().Add(outage)
		return 0, berylerror.NotRun.Errorf("down")
	default:
		return l.add(records), nil
	}
}

func (l *faultyLog) add(records [][]byte) int64 {
	offset := int64(len(l.ids)) + 1
	for _, data := range records {
		r, _ := berylrecord.Decode(data)
		l.ids = append(l.ids, r.ID)
	}
	return offset
}

func (l *faultyLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (beryllog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.downUntil) {
		return beryllog.Batch{}, berylerror.Unavailable.Errorf("down")
	}
	b := beryllog.Batch{First: max(l.first, 1), Next: int64(len(l.ids)) + 1}
	for o := max(from, b.First); o < b.Next && len(b.Entries) < 2; o++ {
		data, _ := berylrecord.Encode(berylrecord.Record{ID: l.ids[o-1], Body: berylrecord.Renewal{}})
		b.Entries = append(b.Entries, beryllog.Entry{Offset: o, Data: data})
	}
	return b, nil
}

// firstOffset returns the first offset of an id, or zero.
func (l *faultyLog) firstOffset(id string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, got := range l.ids {
		if got == id {
			return int64(i) + 1
		}
	}
	return 0
}

// run runs an appender while f runs.
func run(log beryllog.Log, f func(a *Appender)) {
	a := New(log, "s", berylclock.System())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	f(a)
	cancel()
	<-done
}

func record(id string) berylrecord.Record {
	return berylrecord.Record{ID: id, Body: berylrecord.Renewal{Term: 1}}
}

// TestAppendUnderFaults guards against wrong results after any sequence of
// rejections, lost replies, late effects and outages: an offset must be that of
// the first copy, notrun must mean that the record never appears, and requests
// must be at least _interval apart.
func TestAppendUnderFaults(t *testing.T) {
	type caller struct {
		after, timeout time.Duration
	}
	type report struct {
		offset int64
		err    error
	}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault"))
		}), 0, 12).Draw(rt, "faults")
		callers := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) caller {
			return caller{
				after:   time.Duration(rapid.IntRange(0, 400).Draw(rt, "after")) * time.Millisecond,
				timeout: time.Duration(rapid.IntRange(1, 8000).Draw(rt, "timeout")) * time.Millisecond,
			}
		}), 1, 20).Draw(rt, "callers")
		log := &faultyLog{faults: faults}
		reports := make([]report, len(callers))
		synctest.Test(t, func(*testing.T) {
			run(log, func(a *Appender) {
				var wg sync.WaitGroup
				for i, c := range callers {
					wg.Go(func() {
						time.Sleep(c.after)
						ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
						defer cancel()
						reports[i].offset, reports[i].err = a.Append(ctx, record(strconv.Itoa(i)))
					})
				}
				wg.Wait()
			})
			time.Sleep(time.Minute) // late effects
		})
		for i, r := range reports {
			at := log.firstOffset(strconv.Itoa(i))
			switch {
			case r.err == nil && r.offset != at:
				rt.Fatalf("record %d: reported offset %d, stored at %d", i, r.offset, at)
			case berylerror.Of(r.err) == berylerror.NotRun && at != 0:
				rt.Fatalf("record %d: reported as not run, stored at %d", i, at)
			case r.err != nil && berylerror.Of(r.err) != berylerror.NotRun && berylerror.Of(r.err) != berylerror.Unknown:
				rt.Fatalf("record %d: %v", i, r.err)
			}
		}
		for i := 1; i < len(log.sent); i++ {
			if log.sent[i].Sub(log.sent[i-1]) < _interval {
				rt.Fatalf("requests %d and %d are %v apart", i-1, i, log.sent[i].Sub(log.sent[i-1]))
			}
		}
	})
}

// TestBatches guards against one request for each of many concurrent callers.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &faultyLog{}
		run(log, func(a *Appender) {
			var wg sync.WaitGroup
			for i := range 300 {
				wg.Go(func() {
					_, err := a.Append(t.Context(), record(strconv.Itoa(i)))
					is.NoErr(err)
				})
			}
			wg.Wait()
			is.True(a.Requests.Load() <= 2)
		})
		is.Equal(len(log.ids), 300)
	})
}

// TestOutageLoad guards against a load on the log that grows with the length of
// an outage, and against a burst of requests at its end.
func TestOutageLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &faultyLog{faults: []fault{faultOutage}}
		run(log, func(a *Appender) {
			var wg sync.WaitGroup
			for i := range 2000 {
				wg.Go(func() {
					_, err := a.Append(t.Context(), record(strconv.Itoa(i)))
					is.NoErr(err)
				})
			}
			wg.Wait()
		})
		is.True(len(log.sent) < 20)
	})
}

// TestReadBackBehindRetention guards against a second append of a record whose
// first copy may have been dropped by retention.
func TestReadBackBehindRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &faultyLog{faults: []fault{faultReplyLost}, first: 5}
		run(log, func(a *Appender) {
			_, err := a.Append(t.Context(), record("a"))
			is.Equal(berylerror.Of(err), berylerror.Unknown)
		})
		is.Equal(len(log.ids), 1)
	})
}

// TestStop guards against a record that is sent after its caller's context has
// ended, and a caller that blocks when the appender has stopped.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &faultyLog{faults: []fault{faultOutage}}
		a := New(log, "s", berylclock.System())
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := a.Append(ctx, record("a"))
		is.Equal(berylerror.Of(err), berylerror.NotRun)
		is.NoErr(a.Run(ctx))
		_, err = a.Append(t.Context(), record("b"))
		is.Equal(berylerror.Of(err), berylerror.NotRun)
		is.Equal(len(log.ids), 0)
	})
}
