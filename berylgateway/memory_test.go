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
	mu      sync.Mutex
	records []berylstore.Record
	epochs  map[string]int64
	// jobs is the number of job records that each producer has appended.
	jobs map[string]int
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newMemory() *memory {
	return &memory{epochs: map[string]int64{}, jobs: map[string]int{}, changed: make(chan struct{})}
}

// storeView is the store as one VM reaches it.
type storeView struct {
	*memory
	// refused reports whether the store refuses calls of this VM.
	refused func() bool
}

func (v *storeView) Append(_ context.Context, a berylstore.Append) (int64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.refused():
		return 0, berylstore.ErrRejected
	case a.Topic != "jobs":
		return 0, nil
	case a.Epoch < v.epochs[a.Producer]:
		return 0, berylstore.ErrFenced
	case a.ExpectedEnd >= 0 && a.ExpectedEnd != int64(len(v.records)):
		return 0, berylstore.ErrEndMismatch
	}
	v.epochs[a.Producer] = a.Epoch
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

func (v *storeView) Read(ctx context.Context, topic string, from int64, wait time.Duration) (berylstore.Read, error) {
	v.mu.Lock()
	changed := v.changed
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
