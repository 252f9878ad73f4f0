// Package berylspeed learns how fast the backend server of each VM runs tasks, from the
// progress of equal tasks on several of them.
//
// Backend servers of one service may differ in speed by a factor of almost three, and
// nobody declares it. A [Table] compares the rates of equal tasks that run at the same
// time, as declared run times are too far off to compare a single task with. It makes no
// decisions and does no I/O.
package berylspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Usual is the speed of a backend server about which nothing is known.
const Usual = 1.0

// Table has the learned speeds by VM, which outlast the backend servers on it. The zero
// value knows none. It is not safe for concurrent use.
type Table struct {
	servers map[string]*server
	// usual is the median of the servers' estimates. Without it all speeds could drift
	// together, as only their ratios are observed.
	usual float64
}

// Sample is the measured rate of one task of a step.
type Sample struct {
	Node string
	// Kind is what the backend server says of its kind. Another kind is another server.
	Kind string
	// Run names the run. Its newest rate replaces earlier ones.
	Run string
	// Rate is the progress per second, in any unit that all samples of a step share.
	Rate float64
}

// server has the observations of one VM.
type server struct {
	kind string
	// looks are ordered by their first time, one for each run.
	looks []look
	// middle is the median logarithm of the looks, and error its uncertainty.
	middle, error float64
	// lastSeen is the time of the newest look.
	lastSeen time.Time
}

// look is the observed speed of one run.
type look struct {
	run string
	// log is the natural logarithm of the speed.
	log float64
}

// Observe learns from tasks that run at the same time and have equal work. A rate far below
// what the server's speed explains is a fault of the server and not learned.
func (t *Table) Observe(now time.Time, samples []Sample) {
	base, ok := t.base(now, samples)
	if !ok {
		return
	}
	seen := map[*server]bool{}
	for _, s := range samples {
		if v := t.observe(now, s, s.Rate/base); v != nil {
			seen[v] = true
		}
	}
	for v := range seen {
		v.middle = medianLog(v.looks)
		v.error = v.spread() / math.Sqrt(float64(len(v.looks)))
	}
	estimates := make([]float64, 0, len(t.servers))
	for _, v := range t.servers {
		estimates = append(estimates, v.estimate(now))
	}
	if len(estimates) > 0 {
		t.usual = median(estimates)
	}
}

// base returns the rate of the tasks on a backend server of the usual speed. It returns
// false if too few tasks or servers are compared.
func (t *Table) base(now time.Time, samples []Sample) (float64, bool) {
	nodes := map[string]bool{}
	rates := make([]float64, 0, len(samples))
	for _, s := range samples {
		if s.Rate <= 0 {
			continue
		}
		nodes[s.Node] = true
		rates = append(rates, s.Rate/math.Exp(t.servers[s.Node].estimate(now)-t.usual))
	}
	if len(rates) < _minSamples || len(nodes) < _minServers {
		return 0, false
	}
	return median(rates), true
}

// observe adds a look and returns the server, or nil if the rate is not learned.
func (t *Table) observe(now time.Time, s Sample, speed float64) *server {
	if speed < t.Speed(now, s.Node)/FaultFactor || speed > FaultFactor*_maxSpeed {
		return nil
	}
	if t.servers == nil {
		t.servers = map[string]*server{}
	}
	v := t.servers[s.Node]
	if v == nil || v.kind != s.Kind {
		t.makeRoom(s.Node)
		v = &server{kind: s.Kind}
		t.servers[s.Node] = v
	}
	v.lastSeen = now
	v.add(look{run: s.Run, log: math.Log(speed)})
	return v
}

// add adds a look, and drops earlier ones that the newest runs contradict.
func (v *server) add(l look) {
	if i := slices.IndexFunc(v.looks, func(o look) bool { return o.run == l.run }); i >= 0 {
		v.looks[i] = l
		return
	}
	v.looks = append(v.looks, l)
	if len(v.looks) > _maxLooks {
		v.looks = slices.Delete(v.looks, 0, 1)
	}
	n := len(v.looks) - _contradictions
	if n < _contradictions {
		return
	}
	old := medianLog(v.looks[:n])
	above, below := 0, 0
	for _, l := range v.looks[n:] {
		switch {
		case l.log-old > _contradiction:
			above++
		case old-l.log > _contradiction:
			below++
		}
	}
	if max(above, below) == _contradictions {
		v.looks = slices.Delete(v.looks, 0, n)
	}
}

// makeRoom forgets the VM that was not seen for longest if the table is full.
func (t *Table) makeRoom(node string) {
	if t.servers[node] != nil || len(t.servers) < _maxServers {
		return
	}
	oldest := ""
	for name, v := range t.servers {
		if oldest == "" || v.lastSeen.Before(t.servers[oldest].lastSeen) {
			oldest = name
		}
	}
	delete(t.servers, oldest)
}

// Speed returns the speed of the VM's backend server: a task takes its usual run time
// divided by it. It is Usual if too little is known to tell it from the noise of the looks,
// and tends to Usual as the looks age.
func (t *Table) Speed(now time.Time, node string) float64 {
	v := t.servers[node]
	if v == nil {
		return Usual
	}
	if math.Abs(v.middle-t.usual) < max(_minDifference, v.error) {
		return Usual
	}
	return math.Exp(v.estimate(now) - t.usual)
}

// estimate returns the logarithm of the server's speed, between that of the looks and that
// of the usual speed. It is zero for a server that is not known.
func (v *server) estimate(now time.Time) float64 {
	if v == nil {
		return 0
	}
	weight := float64(len(v.looks)) * math.Exp2(-now.Sub(v.lastSeen).Seconds()/_halfLife.Seconds())
	return v.middle * weight / (weight + _priorLooks)
}

// spread returns the median distance of the looks from their median.
func (v *server) spread() float64 {
	distances := make([]float64, len(v.looks))
	for i, l := range v.looks {
		distances[i] = math.Abs(l.log - v.middle)
	}
	return median(distances)
}

// Looks returns from how many runs the speed of the VM's backend server is known.
func (t *Table) Looks(node string) int {
	if v := t.servers[node]; v != nil {
		return len(v.looks)
	}
	return 0
}

// Nodes returns the VMs with looks, in order.
func (t *Table) Nodes() []string {
	nodes := make([]string, 0, len(t.servers))
	for node := range t.servers {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

func medianLog(looks []look) float64 {
	logs := make([]float64, len(looks))
	for i, l := range looks {
		logs[i] = l.log
	}
	return median(logs)
}

// median returns the median of a list that is not empty.
func median(list []float64) float64 {
	list = slices.Clone(list)
	slices.SortFunc(list, cmp.Compare)
	if n := len(list); n%2 == 0 {
		return (list[n/2-1] + list[n/2]) / 2
	}
	return list[len(list)/2]
}

// FaultFactor is how much slower than its speed explains a run has to be for the backend
// server to be at fault. Equal tasks differ by up to a third in their work.
const FaultFactor = 3.0

const (
	// _minSamples and _minServers are how many tasks and servers are compared at least.
	_minSamples = 3
	_minServers = 2
	// _maxSpeed bounds what is learned.
	_maxSpeed = 4.0
	// _maxLooks is the number of runs that are kept for each VM.
	_maxLooks = 21
	// _contradictions is how many runs in a row have to differ from earlier ones by
	// _contradiction, a logarithm, for these to be forgotten.
	_contradictions = 3
	_contradiction  = 0.35
	// _halfLife is the time after the newest look in which the looks lose half of their weight.
	_halfLife = 10 * time.Minute
	// _priorLooks is the weight of the usual speed among the looks.
	_priorLooks = 0.5
	// _minDifference is the least logarithm of a speed that differs from the usual one.
	_minDifference = 0.12
	// _maxServers bounds the VMs that are kept.
	_maxServers = 2048
)
