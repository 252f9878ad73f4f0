// Package berylregistry stores the addresses of the entries and agents in topics of
// the platform's store, one record per VM.
package berylregistry

import (
	"context"
	"log/slog"
	"time"

	"berylglade/berylclock"
	"berylglade/berylproducer"
	"berylglade/berylstore"
)

const (
	// _retryDelay is the delay before a failed registration is retried.
	_retryDelay  = time.Second
	_pageTimeout = time.Second
)

// Registry stores the addresses of the processes of one role.
type Registry struct {
	Store berylstore.Store
	Clock berylclock.Clock
	Topic string
	Log   *slog.Logger
}

// Register stores the address of the process on a VM. It retries until that succeeds
// or ctx ends. The producer's name must be unique to the process.
func (r *Registry) Register(ctx context.Context, producer, vm, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := berylproducer.New(r.Store, r.Clock, r.Topic, producer)
	go p.Run(ctx)
	for ctx.Err() == nil {
		err := p.Append(ctx, berylstore.Record{Key: vm, Value: []byte(addr)})
		if err == nil {
			return
		}
		r.Log.Warn("address not recorded", "topic", r.Topic, "err", err)
		berylclock.Pause(ctx, _retryDelay)
	}
}

// Addresses returns the registered addresses, which may be stale.
func (r *Registry) Addresses(ctx context.Context) ([]string, error) {
	records, _, err := berylstore.ReadNewest(ctx, r.Store, r.Topic, _pageTimeout)
	if err != nil {
		return nil, err
	}
	addrs := make([]string, 0, len(records))
	for _, record := range records {
		addrs = append(addrs, string(record.Value))
	}
	return addrs, nil
}
