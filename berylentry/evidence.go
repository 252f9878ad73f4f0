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

// _keyTimeout bounds the wait for other entries' knowledge of a key.
const _keyTimeout = 500 * time.Millisecond

// keysInUse counts the requests with an idempotency key that this entry works
// on. The zero value is ready.
type keysInUse struct {
	mu     sync.Mutex
	counts map[string]int
}

func (k *keysInUse) enter(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.counts == nil {
		k.counts = map[string]int{}
	}
	k.counts[name]++
}

func (k *keysInUse) leave(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[name]--
	if k.counts[name] == 0 {
		delete(k.counts, name)
	}
}

func (k *keysInUse) count(name string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts[name]
}

func keyName(account, key string) string { return account + "/" + key }

// onKey serves Key.
func (e *Entry) onKey(ctx context.Context, req *berylmessage.Key) (*berylmessage.KeyReply, error) {
	found, err := e.lookUp(ctx, req.Account, req.Key)
	if err != nil {
		return nil, err
	}
	return &berylmessage.KeyReply{
		Call:     found.Call,
		Busy:     e.keys.count(keyName(req.Account, req.Key)) > 0,
		CaughtUp: found.caughtUp && !found.Uncertain,
	}, nil
}

// refused returns the outcome of a keyed call that is refused with err of kind
// NotRun. An earlier request with the key may have run at another entry, or may
// still run. So the kind stays NotRun only if every entry has read the log since
// it started, none works on the key, and none knows another call of the key than
// dead, which has a tombstone; it is empty if this request was bound to none.
func (e *Entry) refused(ctx context.Context, call berylcall.Call, dead string, err error) (berylanswer.Answer, error) {
	ctx = context.WithoutCancel(ctx)
	found, lost := e.lookUp(ctx, call.Account, call.Key)
	alone := e.keys.count(keyName(call.Account, call.Key)) <= 1
	if lost == nil && found.caughtUp && !found.Uncertain && (found.Call == "" || found.Call == dead) && alone && e.unbound(ctx, call, dead) {
		return berylanswer.Answer{}, err
	}
	return berylanswer.Answer{ID: found.Call}, berylerror.Unknown.Wrap(err, "it is not known whether an earlier request with the key ran")
}

// unbound reports whether every other entry confirms that it neither works on
// the key nor knows a call of it, other than dead.
func (e *Entry) unbound(ctx context.Context, call berylcall.Call, dead string) bool {
	ctx, cancel := context.WithTimeout(ctx, _keyTimeout)
	defer cancel()
	replies := make(chan bool, len(e.settings.Entries))
	for _, addr := range e.settings.Entries {
		go func() {
			reply, err := berylrpc.Call[berylmessage.Key, berylmessage.KeyReply](ctx, e.client, addr,
				berylmessage.MethodKey, &berylmessage.Key{Account: call.Account, Key: call.Key})
			replies <- err == nil && reply.CaughtUp && !reply.Busy && (reply.Call == "" || reply.Call == dead)
		}()
	}
	all := true
	for range e.settings.Entries {
		all = <-replies && all
	}
	return all
}
