// Package berylroute chooses the agent to which a call is sent.
//
// An entry's control loop passes the members and the configuration to
// [Router.Update]. The goroutines that serve calls use [Router.Choose] before each
// attempt and [Router.Done] after it. A mutex guards the counters, as both are
// called for every call.
//
// The router chooses the agent with the lowest expected cost: the round trip to
// the failure domain plus the mean service time, weighted by the square of the
// load. The load of an agent is the number of calls that other entries run there,
// taken from its heartbeats, plus the entry's own calls in flight, divided by its
// slots. Backend servers that fail or are much slower than the others are ejected
// for a time that doubles with each ejection, and return on probation with one
// call at a time.
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
	// _failuresToEject is the number of consecutive failures that eject a backend
	// server.
	_failuresToEject = 5
	// _slowFactor is the ratio of a backend server's mean service time to the
	// median of the others above which it is ejected. Service times differ between
	// classes, so the factor is large and needs _slowSamples calls.
	_slowFactor  = 5
	_slowSamples = 30
	// _minSlowServiceTime is the mean service time below which no server is slow.
	_minSlowServiceTime = 20 * time.Millisecond
	// _firstEjection is the duration of the first ejection. It doubles with each
	// consecutive ejection up to _maxEjection.
	_firstEjection = time.Second
	_maxEjection   = time.Minute
	// _probationSuccesses is the number of successes that end the probation.
	_probationSuccesses = 5
	// _maxEjectedShare is the share of the backend servers that may be ejected at
	// the same time. If more fail, the cause is not the servers.
	_maxEjectedShare = 0.5
)

// _defaultServiceTime is used until a service time has been measured.
const _defaultServiceTime = 5 * time.Millisecond

// _decay is the weight of a new service time in the mean.
const _decay = 0.1

// _othersDecay is the weight of a new heartbeat in the mean load by other entries.
// Heartbeats are up to a second old and most calls are shorter. In the simulation
// of this package's tests at 80% load, entries that used only the last heartbeat
// sent their calls to the same servers: the mean time was 198 ms instead of 20 ms.
const _othersDecay = 0.2

// _meanValidity is how long a mean service time is used without a new measurement. A slow
// server then gets one call in this time, instead of none, while the others have capacity.
const _meanValidity = 5 * time.Second

// _noiseRatio is the ratio to the median service time up to which a difference is
// treated as noise.
const _noiseRatio = 2

// Outcome is the result of an attempt with respect to the backend server.
type Outcome uint8

const (
	// OK means that the backend server answered.
	OK Outcome = iota + 1
	// Refused means that the agent did not run the call, for example because it
	// is draining; this says nothing about the backend server.
	Refused
	// Failure means that the backend server failed or could not be reached.
	Failure
	// Abandoned means that the caller cancelled the attempt before it ended.
	Abandoned
)

// Pick is the chosen agent.
type Pick struct {
	Agent       string
	Incarnation string
	Addr        string
	Epoch       int64
}

// Router chooses among the agents with a backend server. The zero value has no
// agents.
type Router struct {
	// Latency is the one-way latency to each failure domain.
	Latency map[string]time.Duration
	// Sample is the number of random candidates to compare; zero compares all.
	// It must be set before use.
	Sample int

	mu       sync.Mutex
	backends []*backend
}

// backend is one agent with a backend server.
type backend struct {
	pick   Pick
	usable bool
	slots  int
	// roundTrip is the round-trip time to the failure domain.
	roundTrip time.Duration
	// othersInFlight is the mean number of calls of other entries over the last
	// heartbeats.
	othersInFlight float64
	// lastHeartbeat is the arrival time of the last heartbeat that was counted.
	lastHeartbeat time.Time
	// ownInFlight is the number of this entry's calls in flight.
	ownInFlight     int
	meanServiceTime time.Duration
	// measuredAt is when the last service time was measured.
	measuredAt time.Time
	// samples counts the service times measured since the last ejection.
	samples  int
	failures int
	// ejectedUntil is the end of the last ejection, or zero.
	ejectedUntil time.Time
	ejections    int
	// probationLeft is the number of successes that are still needed to end the
	// probation.
	probationLeft int
}

// Update replaces the members. The measured values of members that remain are
// preserved.
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
		b.roundTrip = 2 * r.Latency[m.Domain]
		b.recordHeartbeat(m.LastSeen, m.Busy)
		next = append(next, b)
	}
	r.backends = next
}

// Slots returns the slots of all usable backend servers that other entries do not use.
func (r *Router) Slots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.backends {
		if b.usable {
			n += max(1, b.slots-int(b.othersInFlight))
		}
	}
	return n
}

// Choose returns the agent for the next attempt of a call and counts the attempt as
// in flight until [Router.Done]. Agents in exclude are chosen only if there is no
// other.
func (r *Router) Choose(now time.Time, exclude []string) (Pick, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(now, exclude)
	if len(candidates) == 0 {
		return Pick{}, berylerror.NotRun.Errorf("no backend server accepts work")
	}
	b := r.leastCost(now, candidates)
	b.ownInFlight++
	return b.pick, nil
}

// Begin counts an attempt as in flight whose agent was chosen earlier.
func (r *Router) Begin(p Pick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.find(p.Agent, p.Incarnation); b != nil {
		b.ownInFlight++
	}
}

// Done records the end of an attempt; took is its total time.
func (r *Router) Done(now time.Time, p Pick, o Outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.find(p.Agent, p.Incarnation)
	if b == nil {
		return
	}
	// The agent may have left and joined again since the attempt began.
	b.ownInFlight = max(0, b.ownInFlight-1)
	switch o {
	case OK:
		b.recordSuccess(now, took)
		if r.isSlow(b) && r.mayEject(now) {
			b.eject(now)
		}
	case Failure:
		b.failures++
		if (b.failures >= _failuresToEject || b.probationLeft > 0) && r.mayEject(now) {
			b.eject(now)
		}
	case Refused, Abandoned:
	}
}

// Ejected returns the names of the agents whose backend servers are ejected.
func (r *Router) Ejected(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, b := range r.backends {
		if now.Before(b.ejectedUntil) {
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

// candidates returns the usable backend servers that are neither ejected nor
// excluded, or else the ejected ones, or else the excluded ones.
func (r *Router) candidates(now time.Time, exclude []string) []*backend {
	var good, ejected, excluded []*backend
	for _, b := range r.backends {
		switch {
		case !b.usable:
		case slices.Contains(exclude, b.pick.Agent):
			excluded = append(excluded, b)
		case now.Before(b.ejectedUntil) || b.probationLeft > 0 && b.ownInFlight > 0:
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

// leastCost returns the candidate with the lowest cost. It chooses among equal ones
// at random, so that entries with the same view of the load do not all choose the
// first.
func (r *Router) leastCost(now time.Time, candidates []*backend) *backend {
	if r.Sample > 0 && len(candidates) > r.Sample {
		rand.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		candidates = candidates[:r.Sample]
	}
	median := r.medianServiceTime()
	var best *backend
	var cost float64
	same := 0
	for _, b := range candidates {
		c := b.cost(now, median)
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

// medianServiceTime returns the median of the mean service times.
func (r *Router) medianServiceTime() time.Duration {
	means := make([]time.Duration, 0, len(r.backends))
	for _, b := range r.backends {
		if b.usable && b.meanServiceTime > 0 {
			means = append(means, b.meanServiceTime)
		}
	}
	if len(means) == 0 {
		return _defaultServiceTime
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// cost returns the expected time of one more call. Mean service times are noisy, so
// a server's own one is used only if it is far above the median. An old one isn't used: a
// server that gets no calls because of it would never be measured again.
func (b *backend) cost(now time.Time, median time.Duration) float64 {
	service := median
	if b.meanServiceTime > _noiseRatio*median && now.Sub(b.measuredAt) <= _meanValidity {
		service = b.meanServiceTime
	}
	load := (b.othersInFlight + float64(b.ownInFlight) + 1) / float64(b.slots)
	return float64(b.roundTrip) + float64(service)*load*load
}

// recordHeartbeat updates the load by other entries from the calls in flight that a
// heartbeat reported, once for each heartbeat.
func (b *backend) recordHeartbeat(seen time.Time, busy int) {
	if b.lastHeartbeat.Equal(seen) {
		return
	}
	others := float64(max(0, busy-b.ownInFlight))
	if b.lastHeartbeat.IsZero() {
		b.othersInFlight = others
	}
	b.lastHeartbeat = seen
	b.othersInFlight += _othersDecay * (others - b.othersInFlight)
}

func (b *backend) recordSuccess(now time.Time, took time.Duration) {
	b.failures = 0
	b.samples++
	service := max(took-b.roundTrip, 0)
	old := now.Sub(b.measuredAt) > _meanValidity
	b.measuredAt = now
	if b.meanServiceTime == 0 || old {
		b.meanServiceTime = service
	} else {
		b.meanServiceTime += time.Duration(_decay * float64(service-b.meanServiceTime))
	}
	if b.probationLeft > 0 {
		b.probationLeft--
		if b.probationLeft == 0 {
			b.ejections = 0
		}
	}
}

func (b *backend) eject(now time.Time) {
	b.ejectedUntil = now.Add(min(_firstEjection<<min(b.ejections, 10), _maxEjection))
	b.ejections++
	b.probationLeft = _probationSuccesses
	b.failures = 0
	b.samples = 0
	b.meanServiceTime = 0
}

func (r *Router) isSlow(b *backend) bool {
	if b.samples < _slowSamples || b.meanServiceTime < _minSlowServiceTime {
		return false
	}
	var means []time.Duration
	for _, o := range r.backends {
		if o != b && o.usable && o.samples >= _slowSamples {
			means = append(means, o.meanServiceTime)
		}
	}
	if len(means) == 0 {
		return false
	}
	slices.Sort(means)
	return b.meanServiceTime > _slowFactor*means[len(means)/2]
}

// mayEject reports whether one more backend server may be ejected.
func (r *Router) mayEject(now time.Time) bool {
	usable, ejected := 0, 0
	for _, b := range r.backends {
		if !b.usable {
			continue
		}
		usable++
		if now.Before(b.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= _maxEjectedShare*float64(usable)
}
