package berylproducer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylstore"
)

// script is a store that answers appends in the order of its list.
type script struct {
	mu      sync.Mutex
	answers []error
	seqs    []int64
	applied map[int64]int
	// hang keeps appends without an answer until their context ends.
	hang bool
}

func (s *script) Append(ctx context.Context, a berylstore.Append) (int64, error) {
	s.mu.Lock()
	hang := s.hang
	s.seqs = append(s.seqs, a.Seq)
	var err error
	if len(s.answers) > 0 {
		err = s.answers[0]
		s.answers = s.answers[1:]
	}
	if s.applied == nil {
		s.applied = map[int64]int{}
	}
	if err == nil && !hang {
		s.applied[a.Seq]++
	}
	s.mu.Unlock()
	if hang {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 0, err
}

func (s *script) Read(context.Context, string, int64, time.Duration) (berylstore.Read, error) {
	return berylstore.Read{}, nil
}

func (s *script) Newest(context.Context, string, string) (berylstore.Page, error) {
	return berylstore.Page{}, nil
}

func run(t *testing.T, s *script) (*Producer, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := New(s, berylclock.System(), "topic", "p")
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p, ctx
}

// Guards against calling an append "not run" that may still take effect, against
// a new sequence number for a repeat, which would append twice, and against
// giving an append up that the store can still take.
func TestAppendOutcomes(t *testing.T) {
	tests := []struct {
		name string
		give []error
		want berylerror.Kind
		seqs []int64
	}{
		{name: "answered", want: 0, seqs: []int64{1}},
		{name: "lost answer is repeated", give: []error{context.DeadlineExceeded}, want: 0, seqs: []int64{1, 1}},
		{name: "refused at once", give: []error{berylstore.ErrRejected}, want: berylerror.NotRun, seqs: []int64{1}},
		{
			name: "refused after a lost answer is repeated",
			give: []error{context.DeadlineExceeded, berylstore.ErrRejected}, want: 0, seqs: []int64{1, 1, 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &script{answers: tt.give}
			p, ctx := run(t, s)
			err := p.Append(ctx, berylstore.Record{Key: "k"})
			if tt.want == 0 {
				is.NoErr(err)
			} else {
				is.Equal(berylerror.Of(err), tt.want)
			}
			is.Equal(s.seqs, tt.seqs)
		})
	}
}

// Guards against an entry that refuses for ever: after a refusal of the store it
// took the store for failing and never tried it again (qvmlw-pollen trouble-3).
func TestStoreIsTriedAgainAfterARefusal(t *testing.T) {
	is := is.New(t)
	s := &script{answers: []error{berylstore.ErrRejected}}
	p, ctx := run(t, s)
	is.True(p.Append(ctx, berylstore.Record{Key: "k"}) != nil)
	later := time.Now().Add(time.Minute)
	is.Equal(p.Failing(later), time.Duration(0))
	is.True(p.Trouble(later) > 0)
	is.NoErr(p.Append(ctx, berylstore.Record{Key: "k"}))
	is.Equal(p.Trouble(later), time.Duration(0))
}

// Guards against requests that wait until their time is over although the store
// is known not to answer.
func TestWaitingRequestsAreRefusedInAnOutage(t *testing.T) {
	is := is.New(t)
	s := &script{hang: true}
	p, ctx := run(t, s)
	first, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	outcome := make(chan error, 1)
	go func() { outcome <- p.Append(first, berylstore.Record{Key: "a"}) }()
	for p.Failing(time.Now()) == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	err := p.Append(ctx, berylstore.Record{Key: "b"})
	is.Equal(berylerror.Of(err), berylerror.NotRun)
	is.True(time.Since(began) < _firstTimeout+500*time.Millisecond)
	is.Equal(berylerror.Of(<-outcome), berylerror.Unknown)
}
