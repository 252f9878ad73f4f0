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

// scriptedStore is a fake store that answers appends with the listed errors in order,
// then with success.
type scriptedStore struct {
	mu      sync.Mutex
	answers []error
	seqs    []int64
	applied map[int64]int
	// hang delays the answer to appends until their context ends.
	hang bool
}

func (s *scriptedStore) Append(ctx context.Context, a berylstore.Append) (int64, error) {
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

func (s *scriptedStore) Limits() berylstore.Limits { return berylstore.DefaultLimits() }

func (s *scriptedStore) Read(context.Context, string, int64, time.Duration) (berylstore.Read, error) {
	return berylstore.Read{}, nil
}

func (s *scriptedStore) Newest(context.Context, string, string) (berylstore.Page, error) {
	return berylstore.Page{}, nil
}

func startProducer(t *testing.T, s berylstore.Store) (*Producer, context.Context) {
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

// Guards against reporting an append as not run that may still take effect, against a
// retry with a new sequence number, which would append twice, and against abandoning
// an append of unknown outcome.
func TestAppendOutcomes(t *testing.T) {
	tests := []struct {
		name string
		give []error
		want berylerror.Kind
		seqs []int64
	}{
		{name: "success", want: 0, seqs: []int64{1}},
		{name: "retried after a lost reply", give: []error{context.DeadlineExceeded}, want: 0, seqs: []int64{1, 1}},
		{name: "refused", give: []error{berylstore.ErrRejected}, want: berylerror.NotRun, seqs: []int64{1}},
		{name: "refused for its content", give: []error{berylstore.ErrInvalid}, want: berylerror.Oversize, seqs: []int64{1}},
		{
			name: "refused for its content after a lost reply",
			give: []error{context.DeadlineExceeded, berylstore.ErrInvalid}, want: berylerror.Oversize, seqs: []int64{1, 1},
		},
		{
			name: "retried when refused after a lost reply",
			give: []error{context.DeadlineExceeded, berylstore.ErrRejected}, want: 0, seqs: []int64{1, 1, 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedStore{answers: tt.give}
			p, ctx := startProducer(t, s)
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

// Guards against an entry that refuses all requests after one refusal by the store:
// it considered the store as failing and never tried it again.
func TestTriesStoreAgainAfterRefusal(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{answers: []error{berylstore.ErrRejected}}
	p, ctx := startProducer(t, s)
	is.True(p.Append(ctx, berylstore.Record{Key: "k"}) != nil)
	later := time.Now().Add(time.Minute)
	is.Equal(p.StalledFor(later), time.Duration(0))
	is.True(p.FailingFor(later) > 0)
	is.NoErr(p.Append(ctx, berylstore.Record{Key: "k"}))
	is.Equal(p.FailingFor(later), time.Duration(0))
}

// Guards against requests that wait until they time out although the store is known
// not to answer.
func TestRejectsWaitingRequestsDuringOutage(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{hang: true}
	p, ctx := startProducer(t, s)
	first, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	outcome := make(chan error, 1)
	go func() { outcome <- p.Append(first, berylstore.Record{Key: "a"}) }()
	for p.StalledFor(time.Now()) == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	err := p.Append(ctx, berylstore.Record{Key: "b"})
	is.Equal(berylerror.Of(err), berylerror.NotRun)
	is.True(time.Since(began) < _firstTimeout+500*time.Millisecond)
	is.Equal(berylerror.Of(<-outcome), berylerror.Unknown)
}
