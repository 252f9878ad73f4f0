package berylregistry

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"berylglade/berylclock"
	"berylglade/berylstore"
)

// pagedStore is a fake store with two keys per page, whose first append fails.
type pagedStore struct {
	records []berylstore.Record
	failed  bool
}

func (p *pagedStore) Append(_ context.Context, a berylstore.Append) (int64, error) {
	if !p.failed {
		p.failed = true
		return 0, berylstore.ErrRejected
	}
	p.records = append(p.records, a.Records...)
	return int64(len(p.records) - 1), nil
}

func (p *pagedStore) Read(context.Context, string, int64, time.Duration) (berylstore.Read, error) {
	return berylstore.Read{}, errors.New("not used")
}

func (p *pagedStore) Limits() berylstore.Limits { return berylstore.DefaultLimits() }

func (p *pagedStore) Newest(_ context.Context, _, after string) (berylstore.Page, error) {
	for i, r := range p.records {
		if r.Key > after {
			last := min(i+2, len(p.records))
			return berylstore.Page{Records: p.records[i:last], More: last < len(p.records)}, nil
		}
	}
	return berylstore.Page{}, nil
}

// Guards against a process that stays unregistered because the store refused its
// first append, and against losing addresses after the first page.
func TestRegistry(t *testing.T) {
	is := is.New(t)
	r := &Registry{Store: &pagedStore{}, Clock: berylclock.System(), Topic: "t", Log: slog.New(slog.DiscardHandler)}
	for _, vm := range []string{"a", "b", "c"} {
		r.Register(t.Context(), vm+"/1", vm, vm+":7000")
	}
	addrs, err := r.Addresses(t.Context())
	is.NoErr(err)
	is.Equal(addrs, []string{"a:7000", "b:7000", "c:7000"})
}
