package berylfollower

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"berylglade/berylstore"
)

// scriptedStore is a fake store that answers reads with the listed results in order.
type scriptedStore struct {
	reads []answer
	waits []time.Duration
	pages int
	now   time.Time
	stop  context.CancelFunc
}

type answer struct {
	read berylstore.Read
	err  error
	took time.Duration
}

func (s *scriptedStore) Append(context.Context, berylstore.Append) (int64, error) { return 0, nil }

func (s *scriptedStore) Limits() berylstore.Limits { return berylstore.DefaultLimits() }

func (s *scriptedStore) Newest(context.Context, string, string) (berylstore.Page, error) {
	s.pages++
	return berylstore.Page{End: 5}, nil
}

func (s *scriptedStore) Read(_ context.Context, _ string, _ int64, wait time.Duration) (berylstore.Read, error) {
	s.waits = append(s.waits, wait)
	if len(s.reads) == 0 {
		s.stop()
		return berylstore.Read{}, errors.New("end of script")
	}
	a := s.reads[0]
	s.reads = s.reads[1:]
	s.now = s.now.Add(a.took)
	return a.read, a.err
}

// Guards against long reads while the store does not answer, against missing records
// that the store has deleted, and against a state that is reported as fresher than it
// is.
func TestFollow(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	begin := time.UnixMilli(1_000_000)
	s := &scriptedStore{now: begin, stop: cancel, reads: []answer{
		{read: berylstore.Read{Records: []berylstore.Record{{Key: "a"}}, Next: 6, End: 6}, took: 100 * time.Millisecond},
		{read: berylstore.Read{Next: 6, End: 6}, took: 900 * time.Millisecond},
		{err: errors.New("no answer"), took: time.Second},
		{read: berylstore.Read{Next: 6, End: 6}},
		{err: berylstore.ErrGone},
	}}
	var events []Event
	f := &Follower{
		Store: s, Clock: func() time.Time { return s.now }, Topic: "t", Wait: 800 * time.Millisecond,
		Handle: func(e Event) { events = append(events, e) },
	}
	f.Run(ctx)
	is.Equal(s.waits[:5], []time.Duration{800 * time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond, 0, 800 * time.Millisecond})
	is.Equal(s.pages, 2)
	first := events[1].(Read)
	is.Equal(first.AsOf, begin)
	// A read without records shows that nothing was appended during its wait.
	is.Equal(events[2].(Read).AsOf, begin.Add(900*time.Millisecond))
	// A read after a failure does not wait, so it only confirms the time of its start.
	is.Equal(events[4].(Read).AsOf, begin.Add(2*time.Second))
}

// Guards against an entry that denies accepted jobs because it takes itself for current
// while it reads what was appended during an outage: a read returns a part of it.
func TestReadBehindTheEndIsNotCurrent(t *testing.T) {
	const behind = 100
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	begin := time.UnixMilli(1_000_000)
	s := &scriptedStore{now: begin, stop: cancel}
	for i := range int64(behind) {
		s.reads = append(s.reads, answer{
			read: berylstore.Read{Records: []berylstore.Record{{Key: "a"}}, Next: 6 + i, End: 5 + behind}, took: 100 * time.Millisecond,
		})
	}
	var events []Event
	f := &Follower{
		Store: s, Clock: func() time.Time { return s.now }, Topic: "t", Wait: 800 * time.Millisecond,
		Handle: func(e Event) { events = append(events, e) },
	}
	f.Run(ctx)
	for i := 1; i < behind; i++ {
		is.Equal(events[i].(Read).AsOf, begin)
		is.True(events[i].(Read).Behind)
	}
	last := events[behind].(Read)
	is.Equal(last.AsOf, begin.Add((behind-1)*100*time.Millisecond))
	is.True(!last.Behind)
}

// Guards against reads at the rate of the leader's appends, and against a refresh that
// waits for the interval between reads.
func TestIntervalBetweenReads(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s := &scriptedStore{stop: cancel}
	for i := range int64(3) {
		s.reads = append(s.reads, answer{read: berylstore.Read{Records: []berylstore.Record{{Key: "a"}}, Next: 6 + i, End: 6 + i}})
	}
	read := make(chan Event, 10)
	f := &Follower{
		Store: s, Clock: time.Now, Topic: "t", Wait: time.Millisecond, Interval: func() time.Duration { return time.Minute },
		Handle: func(e Event) { read <- e },
	}
	go f.Run(ctx)
	<-read
	<-read
	select {
	case <-read:
		t.Fatal("read again within the interval")
	case <-time.After(50 * time.Millisecond):
	}
	f.Refresh()
	_, ok := (<-read).(Read)
	is.True(ok)
}

// waitingStore is a fake store whose reads wait in full although there is a record,
// as a read does that reaches the store together with the append.
type waitingStore struct {
	scriptedStore
	waiting chan struct{}
}

func (s *waitingStore) Read(ctx context.Context, _ string, from int64, wait time.Duration) (berylstore.Read, error) {
	if wait > 0 {
		select {
		case s.waiting <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return berylstore.Read{}, errors.Wrap(ctx.Err(), "read")
		case <-time.After(wait):
		}
	}
	return berylstore.Read{Records: []berylstore.Record{{Key: "a"}}, Next: from + 1, End: from + 1}, nil
}

// Guards against an entry that learns of its own claim only when the wait of its read
// has ended, and against a cancelled wait that is taken for a failure of the store.
func TestRefreshEndsTheWait(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s := &waitingStore{waiting: make(chan struct{}, 1)}
	read := make(chan Event, 100)
	f := &Follower{
		Store: s, Clock: time.Now, Topic: "t", Wait: time.Minute,
		Handle: func(e Event) { read <- e },
	}
	go f.Run(ctx)
	_, loaded := (<-read).(Loaded)
	is.True(loaded)
	<-s.waiting
	f.Refresh()
	select {
	case e := <-read:
		is.Equal(len(e.(Read).Records), 1)
	case <-ctx.Done():
		t.Fatal("no read within 5 s of the refresh")
	}
}
