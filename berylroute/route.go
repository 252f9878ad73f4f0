// Package berylroute chooses the agent that gets a call.
//
// An entry's control actor passes the members and the configuration to
// [Router.Update]. Traffic goroutines call [Router.Choose] before each attempt
// and [Router.Done] after it. A mutex guards the counters, as both are called
// for every call.
//
// The choice has the least expected cost: the round trip to the failure domain
// plus the learned service time, weighted by the square of the load. The load
// of an agent is what other entries run there, taken from its last heartbeat,
// plus the entry's own calls in flight, against its slots. Servers that fail or
// are much slower than the others are ejected for a time that doubles, and come
// back on probation with one call at a time.
package berylroute

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylmember"
)

// Limits of ejection.
const (
	// _failuresToEject is the number of failures in a row that eject a server.
	_failuresToEject = 5
	// _slowFactor ejects a server whose mean service time is so many times the
	// median of the others. Work of different classes differs in length, so
	// the factor is large and needs _slowSamples calls.
	_slowFactor  = 5
	_slowSamples = 30
	// _slowFloor is a service time that is never called slow.
	_slowFloor = 20 * time.Millisecond
	// _firstEjection doubles with each ejection in a row up to _maxEjection.
	_firstEjection = time.Second
	_maxEjection   = time.Minute
	// _probation is the number of successes that end the probation.
	_probation = 5
	// _maxEjectedShare is the share of the servers that may be ejected at
	// once. If more fail, the cause is not the servers.
	_maxEjectedShare = 0.5
)

// _defaultService stands in for the service time until one is learned.
const _defaultService = 5 * time.Millisecond

// _decay is the weight of a new service time in the mean.
const _decay = 0.1

// _othersDecay is the weight of a new report in the mean load by other entries.
// Reports are a second old and most calls are shorter. In the simulation of this
// package's tests at 80% load, entries that trusted the last report alone sent
// their calls to the same servers: the mean time was 198 ms instead of 20 ms.
const _othersDecay = 0.2

// _noise is the ratio to the usual service time up to which a difference says
// nothing about the server.
const _noise = 2

// Outcome is how an attempt ended, as far as it concerns the backend server.
type Outcome uint8

const (
	// OK means that the server answered.
	OK Outcome = iota + 1
	// Refused means that the agent did not run the call, for example because
	// it drains; this says nothing about the server.
	Refused
	// Failure means that the server failed or could not be reached.
	Failure
	// Abandoned means that the caller gave up first.
	Abandoned
)

// Pick is the chosen agent.
type Pick struct {
	Agent       string
	Incarnation string
	Addr        string
	Epoch       int64
}

// Router chooses among agents with a backend server. The zero value knows none.
type Router struct {
	// Latency is the one-way delay to each failure domain.
	Latency map[string]time.Duration
	// Sample is the number of random candidates to compare; zero compares all.
	// Set it before use.
	Sample int

	mu       sync.Mutex
	backends []*backend
}

// backend is one agent with a backend server.
type backend struct {
	pick   Pick
	usable bool
	slots  int
	// trip is the round trip to the failure domain.
	trip time.Duration
	// others is the mean number of calls of other entries over the last
	// heartbeats.
	others float64
	seen   time.Time
	// own is the number of own calls in flight.
	own  int
	mean time.Duration
	// samples counts service times since the last ejection.
	samples  int
	failures int
	// until is the end of the ejection, or zero.
	until     time.Time
	ejections int
	// probation is the number of successes still needed.
	probation int
}

// Update replaces the members. Learned values of members that stay are kept.
func (r *Router) Update(members []berylmember.Member, cfg *berylconfig.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make([]*backend, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.Slots == 0 {
			continue
		}
		b := r.find(m.Agent, m.Incarnation)
		if b == nil {
			b = &backend{}
		}
		b.pick = Pick{Agent: m.Agent, Incarnation: m.Incarnation, Addr: m.Addr, Epoch: m.Epoch}
		b.usable = m.Usable() && !cfg.Domains[m.Domain].Out
		b.slots = m.Slots
		b.trip = 2 * r.Latency[m.Domain]
		b.observe(m.LastSeen, m.Busy)
		next = append(next, b)
	}
	r.backends = next
}

// Slots returns the slots of all usable servers that other entries do not use.
func (r *Router) Slots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.backends {
		if b.usable {
			n += max(1, b.slots-int(b.others))
		}
	}
	return n
}

// Choose returns the agent for the next attempt of a call and counts it as in
// flight until [Router.Done]. Agents in exclude are taken only if there is no
// other one.
func (r *Router) Choose(now time.Time, exclude []string) (Pick, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, exclude)
	if len(candidates) == 0 {
		return Pick{}, berylerror.NotRun.Errorf("no backend server takes work")
	}
	b := r.least(candidates)
	b.own++
	return b.pick, nil
}

// Begin counts a call as in flight whose agent was chosen earlier.
func (r *Router) Begin(p Pick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.find(p.Agent, p.Incarnation); b != nil {
		b.own++
	}
}

// Done records the end of an attempt; took is its whole time.
func (r *Router) Done(now time.Time, p Pick, o Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.find(p.Agent, p.Incarnation)
	if b == nil {
		return
	}
	// The agent may have left and joined again since the attempt began.
	b.own = max(0, b.own-1)
	switch o {
	case OK:
		b.succeed(took)
		if r.slow(b) && r.mayEject(now) {
			b.eject(now)
		}
	case Failure:
		b.failures++
		if (b.failures >= _failuresToEject || b.probation > 0) && r.mayEject(now) {
			b.eject(now)
		}
	case Refused, Abandoned:
	}
}

// Ejected returns the names of the agents whose servers are ejected.
func (r *Router) Ejected(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, b := range r.backends {
		if now.Before(b.until) {
			names = append(names, b.pick.Agent)
		}
	}
	return names
}

func (r *Router) find(agent, incarnation string) *backend {
	for _, b := range r.backends {
		if b.pick.Agent == agent && b.pick.Incarnation == incarnation {
			return b
		}
	}
	return nil
}

// candidates returns the usable servers, without ejected and excluded ones
// unless nothing else is left.
func (r *Router) candidates(now time.Time, exclude []string) []*backend {
	var good, ejected, excluded []*backend
	for _, b := range r.backends {
		switch {
		case !b.usable:
		case slices.Contains(exclude, b.pick.Agent):
			excluded = append(excluded, b)
		case now.Before(b.until) || b.probation > 0 && b.own > 0:
			ejected = append(ejected, b)
		default:
			good = append(good, b)
		}
	}
	switch {
	case len(good) > 0:
		return good
	case len(ejected) > 0:
		return ejected
	default:
		return excluded
	}
}

// least returns the candidate with the least cost; equal ones are chosen at
// random, so that entries which see the same loads do not all take the first.
func (r *Router) least(candidates []*backend) *backend {
	if r.Sample > 0 && len(candidates) > r.Sample {
		rand.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		candidates = candidates[:r.Sample]
	}
	usual := r.usual()
	var best *backend
	var cost float64
	same := 0
	for _, b := range candidates {
		c := b.cost(usual)
		switch {
		case best == nil || c < cost:
			best, cost, same = b, c, 1
		case c == cost:
			same++
			if rand.IntN(same) == 0 {
				best = b
			}
		}
	}
	return best
}

// usual returns the median of the learned service times.
func (r *Router) usual() time.Duration {
	means := make([]time.Duration, 0, len(r.backends))
	for _, b := range r.backends {
		if b.usable && b.mean > 0 {
			means = append(means, b.mean)
		}
	}
	if len(means) == 0 {
		return _defaultService
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// cost is the expected time of one more call. A learned service time is noisy,
// so it counts only if it is far above the usual one.
func (b *backend) cost(usual time.Duration) float64 {
	service := usual
	if b.mean > _noise*usual {
		service = b.mean
	}
	load := (b.others + float64(b.own) + 1) / float64(b.slots)
	return float64(b.trip) + float64(service)*load*load
}

// observe takes the calls in flight that a heartbeat reported, once for each
// heartbeat.
func (b *backend) observe(seen time.Time, busy int) {
	if b.seen.Equal(seen) {
		return
	}
	others := float64(max(0, busy-b.own))
	if b.seen.IsZero() {
		b.others = others
	}
	b.seen = seen
	b.others += _othersDecay * (others - b.others)
}

func (b *backend) succeed(took time.Duration) {
	b.failures = 0
	b.samples++
	service := max(took-b.trip, 0)
	if b.mean == 0 {
		b.mean = service
	} else {
		b.mean += time.Duration(_decay * float64(service-b.mean))
	}
	if b.probation > 0 {
		b.probation--
		if b.probation == 0 {
			b.ejections = 0
		}
	}
}

func (b *backend) eject(now time.Time) {
	b.until = now.Add(min(_firstEjection<<min(b.ejections, 10), _maxEjection))
	b.ejections++
	b.probation = _probation
	b.failures = 0
	b.samples = 0
	b.mean = 0
}

func (r *Router) slow(b *backend) bool {
	if b.samples < _slowSamples || b.mean < _slowFloor {
		return false
	}
	var means []time.Duration
	for _, o := range r.backends {
		if o != b && o.usable && o.samples >= _slowSamples {
			means = append(means, o.mean)
		}
	}
	if len(means) == 0 {
		return false
	}
	slices.Sort(means)
	return b.mean > _slowFactor*means[len(means)/2]
}

// mayEject reports whether one more server may be ejected.
func (r *Router) mayEject(now time.Time) bool {
	usable, ejected := 0, 0
	for _, b := range r.backends {
		if !b.usable {
			continue
		}
		usable++
		if now.Before(b.until) {
			ejected++
		}
	}
	return float64(ejected+1) <= _maxEjectedShare*float64(usable)
}
