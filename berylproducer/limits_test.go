package berylproducer

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylerror"
	"berylglade/berylstore"
)

// limitedStore is a fake store that refuses appends beyond its real limits, which may be
// lower than those of its settings.
type limitedStore struct {
	scriptedStore
	settings, real berylstore.Limits
	// gate, if set, holds the first append until it is closed.
	gate     chan struct{}
	appended sync.Map
}

func (s *limitedStore) Limits() berylstore.Limits { return s.settings }

func (s *limitedStore) Append(_ context.Context, a berylstore.Append) (int64, error) {
	if s.gate != nil {
		<-s.gate
	}
	if !s.real.AcceptsCall(a.Records) {
		return 0, berylstore.ErrInvalid
	}
	for _, r := range a.Records {
		s.appended.Store(r.Key, true)
	}
	return 0, nil
}

func sized(key string, size int) berylstore.Record {
	return berylstore.Record{Key: key, Value: []byte(strings.Repeat("x", size))}
}

// Many large requests wait for an append. Guards against a batch that the store refuses for
// its size, which was repeated for ever, and against one request that the store refuses and
// that takes others with it.
func TestLargeRequestsAtOnce(t *testing.T) {
	limits := berylstore.Limits{Record: 1000, Call: 2500}
	tests := []struct {
		name string
		real berylstore.Limits
		// refused is the key of the request that the store refuses.
		refused string
	}{
		{name: "batch larger than a call", real: limits},
		{name: "store accepts less than its settings say", real: berylstore.Limits{Record: 950, Call: 2500}, refused: "d"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &limitedStore{settings: limits, real: tt.real, gate: make(chan struct{})}
			p, ctx := startProducer(t, s)
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			outcomes := map[string]chan error{}
			for i, key := range []string{"a", "b", "c", "d", "e", "f"} {
				outcomes[key] = make(chan error, 1)
				size := 900
				if key == "d" {
					size = 960
				}
				go func() { outcomes[key] <- p.Append(ctx, sized(key, size)) }()
				// The first request is in flight before the others wait behind it.
				for i == 0 && p.StalledFor(time.Now()) == 0 || p.outstanding() < i {
					is.NoErr(ctx.Err())
					time.Sleep(time.Millisecond)
				}
			}
			close(s.gate)
			for key, outcome := range outcomes {
				err := <-outcome
				_, appended := s.appended.Load(key)
				is.Equal(appended, key != tt.refused)
				is.Equal(err != nil, key == tt.refused)
				is.True(err == nil || berylerror.Of(err) == berylerror.Oversize)
			}
		})
	}
}

// outstanding returns the number of requests that wait behind the one in flight.
func (p *Producer) outstanding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// Guards against a request that waits in the queue although the store never takes it.
func TestOversizeRequestIsNotQueued(t *testing.T) {
	is := is.New(t)
	p := New(&limitedStore{settings: berylstore.Limits{Record: 1000, Call: 2500}}, time.Now, "topic", "p")
	for _, records := range [][]berylstore.Record{
		{sized("a", 1001)},
		{sized("a", 900), sized("b", 900), sized("c", 900)},
		{sized(strings.Repeat("k", 256), 1)},
	} {
		// The producer doesn't run, so that a queued request would wait.
		is.Equal(berylerror.Of(p.Append(t.Context(), records...)), berylerror.Oversize)
	}
}
