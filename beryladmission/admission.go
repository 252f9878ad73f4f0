// Package beryladmission decides which calls of which client account an entry
// dispatches next, and refuses early what cannot meet its target.
//
// A call asks [Admission.Enter] for a [Ticket] and waits until [Ticket.Ready]
// is closed; [Admission.Leave] gives the place back. Places are counted against
// the slots of the backend servers. A free place goes to the waiting account
// with the fewest calls in flight, so a burst of one account queues behind
// itself. While other accounts are active, no account may hold the last part of
// the places, so a call of another account finds one free.
package beryladmission

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"berylglade/berylconfig"
	"berylglade/berylerror"
)

// Limits of the queue.
const (
	// _window is the number of places for each slot. It is above one because a
	// slot would otherwise be idle for a round trip between two calls.
	_window = 1.5
	// _reserve is the share of the slots that one account leaves free while
	// other accounts are active.
	_reserve = 0.125
	// _active is how long an account counts as active after its last call.
	_active = 30 * time.Second
	// _maxQueue bounds the waiting calls of one account.
	_maxQueue = 4096
	// _decay is the weight of a new service time in the mean of its class.
	_decay = 0.1
)

// Admission is the admission state of one entry. The zero value has no places;
// call [Admission.Resize] first.
type Admission struct {
	// Entries is the number of entries that share the rate of an account; zero
	// counts as one.
	Entries int

	mu       sync.Mutex
	slots    int
	inflight int
	accounts map[string]*account
	// service is the learned mean service time by class.
	service map[string]time.Duration
}

type account struct {
	limiter  *rate.Limiter
	inflight int
	queue    []*Ticket
	seen     time.Time
}

// Request describes a call that wants to be dispatched.
type Request struct {
	Account string
	// Config is the account's configuration.
	Config berylconfig.ClientAccount
	Class  string
	// Deadline is the earlier of the target and the caller's timeout.
	Deadline time.Time
}

// Ticket is one call's place or its wait for a place.
type Ticket struct {
	// Ready is closed when the call may be dispatched.
	Ready <-chan struct{}

	ready   chan struct{}
	placed  bool
	granted time.Time
	request Request
	left    bool
}

// Resize sets the number of slots of all backend servers.
func (a *Admission) Resize(now time.Time, slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.grant(now)
}

// Enter asks for a place. An error of kind NotRun means that the account is
// above its rate or that the call cannot meet its deadline.
func (a *Admission) Enter(now time.Time, r Request) (*Ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.account(now, r)
	if r.Config.Rate > 0 && !acc.limiter.AllowN(now, 1) {
		return nil, berylerror.NotRun.Errorf("client account %s is above its rate of %g calls a second", r.Account, r.Config.Rate)
	}
	if len(acc.queue) >= _maxQueue {
		return nil, berylerror.NotRun.Errorf("client account %s has %d calls waiting", r.Account, len(acc.queue))
	}
	if err := a.late(now, acc, r); err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	t := &Ticket{Ready: ready, ready: ready, request: r}
	acc.queue = append(acc.queue, t)
	a.grant(now)
	return t, nil
}

// Leave gives a place back, or ends the wait for one. ok says that the call was
// answered, so that its time from grant to now is its service time.
func (a *Admission) Leave(now time.Time, t *Ticket, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	acc := a.accounts[t.request.Account]
	if !t.placed {
		acc.drop(t)
		return
	}
	acc.inflight--
	a.inflight--
	if ok {
		a.learn(t.request.Class, now.Sub(t.granted))
	}
	a.grant(now)
}

// Load returns the number of calls in flight and in the queues.
func (a *Admission) Load() (inflight, queued int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.accounts {
		queued += len(acc.queue)
	}
	return a.inflight, queued
}

// account returns the state of the request's account with its current limits.
func (a *Admission) account(now time.Time, r Request) *account {
	if a.accounts == nil {
		a.accounts = map[string]*account{}
		a.service = map[string]time.Duration{}
	}
	limit, burst := a.rate(r.Config)
	acc := a.accounts[r.Account]
	if acc == nil {
		acc = &account{limiter: rate.NewLimiter(limit, burst)}
		a.accounts[r.Account] = acc
	}
	if acc.limiter.Limit() != limit {
		acc.limiter.SetLimitAt(now, limit)
	}
	if acc.limiter.Burst() != burst {
		acc.limiter.SetBurstAt(now, burst)
	}
	acc.seen = now
	return acc
}

// rate returns this entry's part of an account's rate. The load balancer
// spreads the calls of an account evenly over the entries.
func (a *Admission) rate(cfg berylconfig.ClientAccount) (rate.Limit, int) {
	n := max(1, a.Entries)
	burst := cfg.Burst
	if burst == 0 {
		burst = int(cfg.Rate)
	}
	return rate.Limit(cfg.Rate / float64(n)), max(1, (burst+n-1)/n)
}

// late returns an error if the call would miss its deadline because of the
// calls before it. An account with no call in flight is always let in, as
// otherwise a wrong service time would never be corrected.
func (a *Admission) late(now time.Time, acc *account, r Request) error {
	service := a.service[r.Class]
	if service == 0 || acc.inflight == 0 || r.Deadline.IsZero() {
		return nil
	}
	wait := a.wait(now, acc, service)
	if wait == 0 || !now.Add(wait+service).After(r.Deadline) {
		return nil
	}
	return berylerror.NotRun.Errorf("call would wait %s and run %s, which is after its deadline in %s",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond))
}

// wait estimates the time until the account's next call gets a slot. The slots
// are shared evenly among the accounts that have calls in flight or waiting.
func (a *Admission) wait(now time.Time, acc *account, service time.Duration) time.Duration {
	sharing := 0
	for _, o := range a.accounts {
		if o == acc || o.inflight > 0 || len(o.queue) > 0 {
			sharing++
		}
	}
	share := max(1, min(a.slots/sharing, int(a.limit(now, acc))))
	ahead := acc.inflight + len(acc.queue) + 1 - share
	if ahead <= 0 {
		return 0
	}
	return service * time.Duration(ahead) / time.Duration(share)
}

// limit returns the most places that one account may hold.
func (a *Admission) limit(now time.Time, acc *account) float64 {
	for _, o := range a.accounts {
		if o != acc && now.Sub(o.seen) < _active {
			return max(1, float64(a.slots)*(1-_reserve))
		}
	}
	return max(1, float64(a.slots)*_window)
}

// grant gives free places to the accounts with the fewest calls in flight.
func (a *Admission) grant(now time.Time) {
	for a.slots > 0 && float64(a.inflight) < float64(a.slots)*_window {
		acc := a.next(now)
		if acc == nil {
			return
		}
		t := acc.queue[0]
		acc.queue[0] = nil
		acc.queue = acc.queue[1:]
		acc.inflight++
		a.inflight++
		t.placed = true
		t.granted = now
		close(t.ready)
	}
}

func (a *Admission) next(now time.Time) *account {
	var best *account
	for _, acc := range a.accounts {
		if len(acc.queue) == 0 || float64(acc.inflight) >= a.limit(now, acc) {
			continue
		}
		if best == nil || acc.inflight < best.inflight {
			best = acc
		}
	}
	return best
}

func (a *Admission) learn(class string, took time.Duration) {
	mean, ok := a.service[class]
	if !ok {
		a.service[class] = took
		return
	}
	a.service[class] = mean + time.Duration(_decay*float64(took-mean))
}

func (acc *account) drop(t *Ticket) {
	for i, o := range acc.queue {
		if o == t {
			acc.queue = append(acc.queue[:i], acc.queue[i+1:]...)
			return
		}
	}
}
