package berylentry

import (
	"context"
	"sync"
	"time"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylerror"
	"berylglade/berylmessage"
	"berylglade/berylrpc"
)

// _keyTimeout bounds the queries to other entries about a key.
const _keyTimeout = 500 * time.Millisecond

// keyUsage counts the requests in progress at this entry by idempotency key.
// The zero value is ready for use.
type keyUsage struct {
	mu     sync.Mutex
	counts map[string]int
}

func (k *keyUsage) add(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.counts == nil {
		k.counts = map[string]int{}
	}
	k.counts[name]++
}

func (k *keyUsage) remove(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[name]--
	if k.counts[name] == 0 {
		delete(k.counts, name)
	}
}

func (k *keyUsage) count(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts[name]
}

func keyName(account, key string) string { return account + "/" + key }

// onKey handles the RPC Key.
func (e *Entry) onKey(ctx context.Context, req *berylmessage.Key) (*berylmessage.KeyReply, error) {
	found, err := e.findIntent(ctx, req.Account, req.Key)
	if err != nil {
		return nil, err
	}
	return &berylmessage.KeyReply{
		Call:     found.Call,
		Busy:     e.keysInUse.count(keyName(req.Account, req.Key)) > 0,
		CaughtUp: found.caughtUp && !found.Uncertain,
	}, nil
}

// refuseKeyed returns the outcome of a keyed call that was rejected with err of
// kind NotRun. An earlier request with the key may have run through another
// entry, or may still be running. So the kind stays NotRun only if every entry
// has read the log to its end since it started, no entry has another request
// with the key in progress, and none knows a call of the key other than
// tombstoned, which has a confirmed tombstone; tombstoned is empty if this
// request was bound to no call.
func (e *Entry) refuseKeyed(ctx context.Context, call berylcall.Call, tombstoned string, err error) (berylanswer.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	found, findErr := e.findIntent(ctx, call.Account, call.Key)
	soleRequest := e.keysInUse.count(keyName(call.Account, call.Key)) <= 1
	if findErr == nil && found.caughtUp && !found.Uncertain && (found.Call == "" || found.Call == tombstoned) && soleRequest && e.peersConfirmUnused(ctx, call, tombstoned) {
		return berylanswer.Answer{}, err
	}
	return berylanswer.Answer{ID: found.Call}, berylerror.Unknown.Wrap(err, "cannot determine whether an earlier request with the key has run")
}

// peersConfirmUnused reports whether every other entry confirms that it has no
// request with the key in progress and knows no call of it other than
// tombstoned.
func (e *Entry) peersConfirmUnused(ctx context.Context, call berylcall.Call, tombstoned string) bool {
	ctx, cancel := context.WithTimeout(ctx, _keyTimeout)
	defer cancel()
	replies := make(chan bool, len(e.settings.Entries))
	for _, addr := range e.settings.Entries {
		go func() {
			reply, err := berylrpc.Call[berylmessage.Key, berylmessage.KeyReply](ctx, e.client, addr,
				berylmessage.MethodKey, &berylmessage.Key{Account: call.Account, Key: call.Key})
			replies <- err == nil && reply.CaughtUp && !reply.Busy && (reply.Call == "" || reply.Call == tombstoned)
		}()
	}
	unused := true
	for range e.settings.Entries {
		unused = <-replies && unused
	}
	return unused
}
