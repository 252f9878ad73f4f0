package berylgateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"berylglade/berylstore"
)

// memory is an in-memory store with the topic "jobs"; all other topics are empty.
type memory struct {
	mu sync.Mutex
	// limits are those of the settings, and real, if set, those that hold.
	limits, real berylstore.Limits
	records      []berylstore.Record
	epochs       map[string]int64
	// answered has the offset of each append of the leader, by epoch and sequence
	// number. The store takes another append with the same ones for a repetition.
	answered map[[2]int64]int64
	// missAppends makes each read that waits do so in full, as one does that reaches
	// the store together with an append.
	missAppends bool
	// claimants is the number of entries of which a claim has to arrive before any
	// is answered; claimed are those of which one has.
	claimants int
	claimed   map[*storeView]bool
	// jobs is the number of job records that each producer has appended.
	jobs map[string]int
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newMemory() *memory {
	return &memory{limits: berylstore.DefaultLimits(), epochs: map[string]int64{}, answered: map[[2]int64]int64{}, claimed: map[*storeView]bool{}, jobs: map[string]int{}, changed: make(chan struct{})}
}

// storeView is the store as one VM reaches it.
type storeView struct {
	*memory
	// refused reports whether the store refuses calls of this VM.
	refused func() bool
}

func (v *storeView) Append(_ context.Context, a berylstore.Append) (int64, error) {
	if a.Producer == _leaderProducer && a.Seq == 0 {
		v.awaitClaims()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	key := [2]int64{a.Epoch, a.Seq}
	first, repeated := v.answered[key]
	switch {
	case v.refused():
		return 0, berylstore.ErrRejected
	case a.Topic != "jobs":
		return 0, nil
	case v.real != (berylstore.Limits{}) && !v.real.AcceptsCall(a.Records):
		return 0, berylstore.ErrInvalid
	case repeated && a.Producer == _leaderProducer:
		return first, nil
	case a.Epoch < v.epochs[a.Producer]:
		return 0, berylstore.ErrFenced
	case a.ExpectedEnd >= 0 && a.ExpectedEnd != int64(len(v.records)):
		return 0, berylstore.ErrEndMismatch
	}
	v.epochs[a.Producer] = a.Epoch
	if a.Producer == _leaderProducer {
		v.answered[key] = int64(len(v.records))
	}
	v.records = append(v.records, a.Records...)
	for _, r := range a.Records {
		if strings.HasPrefix(r.Key, "j/") {
			v.jobs[a.Producer]++
		}
	}
	close(v.changed)
	v.changed = make(chan struct{})
	return int64(len(v.records) - len(a.Records)), nil
}

// awaitClaims returns when enough entries have claimed.
func (v *storeView) awaitClaims() {
	for {
		v.mu.Lock()
		v.claimed[v] = true
		n := len(v.claimed)
		v.mu.Unlock()
		if n >= v.claimants {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (v *storeView) Read(ctx context.Context, topic string, from int64, wait time.Duration) (berylstore.Read, error) {
	v.mu.Lock()
	changed := v.changed
	if v.missAppends {
		changed = nil
	}
	ready := topic == "jobs" && from < int64(len(v.records))
	v.mu.Unlock()
	if !ready && !v.refused() {
		select {
		case <-ctx.Done():
			return berylstore.Read{}, ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.refused() {
		return berylstore.Read{}, berylstore.ErrRejected
	}
	if topic != "jobs" {
		return berylstore.Read{Next: from, End: from}, nil
	}
	end := int64(len(v.records))
	return berylstore.Read{Records: slices.Clone(v.records[from:]), Next: end, End: end}, nil
}

func (v *storeView) Limits() berylstore.Limits { return v.limits }

func (v *storeView) Newest(_ context.Context, topic, _ string) (berylstore.Page, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.refused() {
		return berylstore.Page{}, berylstore.ErrRejected
	}
	if topic != "jobs" {
		return berylstore.Page{}, nil
	}
	return berylstore.Page{Records: slices.Clone(v.records), End: int64(len(v.records))}, nil
}

// producers returns the number of job records that each producer has appended.
func (m *memory) producers() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.jobs)
}

// has reports whether a record whose key has the given suffix was appended.
func (m *memory) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.records, func(r berylstore.Record) bool { return strings.HasSuffix(r.Key, key) })
}
