// Package beryladmission decides which client account's call an entry dispatches
// next, and rejects early the calls that cannot meet their deadline.
//
// A call gets a [Ticket] from [Admission.Enter] and waits until [Ticket.Ready] is
// closed, which grants it a permit; [Admission.Leave] releases the permit. The
// number of permits follows from the slots of the backend servers. A free permit
// goes to the waiting account with the fewest calls in flight, so that a burst of
// one account delays only its own calls. While other accounts are active, no
// account may hold all permits, so that a call of another account finds one free.
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
	// _permitsPerSlot is the number of permits for each slot. It is above one
	// because a slot would otherwise be idle for a round trip between two calls.
	_permitsPerSlot = 1.5
	// _reservedShare is the share of the slots that one account leaves free while
	// other accounts are active.
	_reservedShare = 0.125
	// _activeFor is the time for which an account is active after its last call.
	_activeFor = 30 * time.Second
	// _maxQueue bounds the queued calls of one account.
	_maxQueue = 4096
	// _decay is the weight of a new service time in the mean of its class.
	_decay = 0.1
)

// Admission is the admission state of one entry. The zero value has no permits;
// call [Admission.Resize] first.
type Admission struct {
	// Entries is the number of entries that share the rate limit of an account;
	// zero counts as one.
	Entries int

	mu       sync.Mutex
	slots    int
	inflight int
	accounts map[string]*account
	// serviceTimes has the mean service time of each class.
	serviceTimes map[string]time.Duration
}

type account struct {
	limiter  *rate.Limiter
	inflight int
	queue    []*Ticket
	// lastCall is the time of the account's last request for a permit.
	lastCall time.Time
}

// Request describes a call to be dispatched.
type Request struct {
	Account string
	// Config is the account's configuration.
	Config berylconfig.ClientAccount
	Class  string
	// Deadline is the end of the target latency or of the caller's timeout,
	// whichever is earlier.
	Deadline time.Time
}

// Ticket is a call's permit or its request for one.
type Ticket struct {
	// Ready is closed when the call may be dispatched.
	Ready <-chan struct{}

	ready      chan struct{}
	admitted   bool
	admittedAt time.Time
	request    Request
	released   bool
}

// Resize sets the number of slots of all backend servers.
func (a *Admission) Resize(now time.Time, slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = slots
	a.grant(now)
}

// Enter requests a permit. An error of kind NotRun means that the account exceeds
// its rate limit or its queue is full, or that the call cannot meet its deadline.
func (a *Admission) Enter(now time.Time, r Request) (*Ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.account(now, r)
	if r.Config.Rate > 0 && !acc.limiter.AllowN(now, 1) {
		return nil, berylerror.NotRun.Errorf("client account %s exceeds its rate limit of %g calls per second", r.Account, r.Config.Rate)
	}
	if len(acc.queue) >= _maxQueue {
		return nil, berylerror.NotRun.Errorf("client account %s has %d queued calls, which is the limit", r.Account, len(acc.queue))
	}
	if err := a.checkDeadline(now, acc, r); err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	t := &Ticket{Ready: ready, ready: ready, request: r}
	acc.queue = append(acc.queue, t)
	a.grant(now)
	return t, nil
}

// Leave releases a permit or cancels the request for one. ok reports whether the
// call was answered, so that the time since its admission is its service time.
func (a *Admission) Leave(now time.Time, t *Ticket, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	acc := a.accounts[t.request.Account]
	if !t.admitted {
		acc.dequeue(t)
		return
	}
	acc.inflight--
	a.inflight--
	if ok {
		a.recordServiceTime(t.request.Class, now.Sub(t.admittedAt))
	}
	a.grant(now)
}

// Load returns the number of calls in flight and the number of queued calls.
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
		a.serviceTimes = map[string]time.Duration{}
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
	acc.lastCall = now
	return acc
}

// rate returns this entry's share of an account's rate limit. The load balancer
// spreads the calls of an account evenly over the entries.
func (a *Admission) rate(cfg berylconfig.ClientAccount) (rate.Limit, int) {
	n := max(1, a.Entries)
	burst := cfg.Burst
	if burst == 0 {
		burst = int(cfg.Rate)
	}
	return rate.Limit(cfg.Rate / float64(n)), max(1, (burst+n-1)/n)
}

// checkDeadline returns an error if the calls ahead would make the call miss its
// deadline. It never rejects the call of an account with no call in flight, as
// otherwise a wrong service time would never be corrected.
func (a *Admission) checkDeadline(now time.Time, acc *account, r Request) error {
	service := a.serviceTimes[r.Class]
	if service == 0 || acc.inflight == 0 || r.Deadline.IsZero() {
		return nil
	}
	wait := a.estimateWait(now, acc, service)
	if wait == 0 || !now.Add(wait+service).After(r.Deadline) {
		return nil
	}
	return berylerror.NotRun.Errorf("call would wait %s and run %s, but its deadline is in %s",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond))
}

// estimateWait estimates the time until the account's next call gets a slot. The
// slots are shared evenly among the accounts with calls in flight or queued.
func (a *Admission) estimateWait(now time.Time, acc *account, service time.Duration) time.Duration {
	sharing := 0
	for _, o := range a.accounts {
		if o == acc || o.inflight > 0 || len(o.queue) > 0 {
			sharing++
		}
	}
	share := max(1, min(a.slots/sharing, int(a.maxPermits(now, acc))))
	ahead := acc.inflight + len(acc.queue) + 1 - share
	if ahead <= 0 {
		return 0
	}
	return service * time.Duration(ahead) / time.Duration(share)
}

// maxPermits returns the maximum number of permits that one account may hold.
func (a *Admission) maxPermits(now time.Time, acc *account) float64 {
	for _, o := range a.accounts {
		if o != acc && now.Sub(o.lastCall) < _activeFor {
			return max(1, float64(a.slots)*(1-_reservedShare))
		}
	}
	return max(1, float64(a.slots)*_permitsPerSlot)
}

// grant gives free permits to the accounts with the fewest calls in flight.
func (a *Admission) grant(now time.Time) {
	for a.slots > 0 && float64(a.inflight) < float64(a.slots)*_permitsPerSlot {
		acc := a.nextAccount(now)
		if acc == nil {
			return
		}
		t := acc.queue[0]
		acc.queue[0] = nil
		acc.queue = acc.queue[1:]
		acc.inflight++
		a.inflight++
		t.admitted = true
		t.admittedAt = now
		close(t.ready)
	}
}

func (a *Admission) nextAccount(now time.Time) *account {
	var best *account
	for _, acc := range a.accounts {
		if len(acc.queue) == 0 || float64(acc.inflight) >= a.maxPermits(now, acc) {
			continue
		}
		if best == nil || acc.inflight < best.inflight {
			best = acc
		}
	}
	return best
}

func (a *Admission) recordServiceTime(class string, took time.Duration) {
	mean, ok := a.serviceTimes[class]
	if !ok {
		a.serviceTimes[class] = took
		return
	}
	a.serviceTimes[class] = mean + time.Duration(_decay*float64(took-mean))
}

func (acc *account) dequeue(t *Ticket) {
	for i, o := range acc.queue {
		if o == t {
			acc.queue = append(acc.queue[:i], acc.queue[i+1:]...)
			return
		}
	}
}
