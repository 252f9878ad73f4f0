// Package berylwork describes a job of several steps as a client submitted it.
//
// A [Work] never changes after it was accepted. Its progress is kept
// separately, in package berylbook.
package berylwork

import (
	"strconv"
	"strings"
	"time"

	"berylglade/berylroom"
)

// Work is a submitted job.
type Work struct {
	// ID is chosen by the client and unique across all queues.
	ID string `cbor:"i"`
	// Queue is the name of the queue in the policy.
	Queue string `cbor:"q"`
	// Account is the client account that owns the job; empty on a public queue.
	Account string `cbor:"o,omitempty"`
	// Terms are those of the queue when the job was accepted.
	Terms Terms `cbor:"u,omitzero"`
	// Spec is passed to the backend server without being interpreted.
	Spec string `cbor:"s,omitempty"`
	// Steps has at least one element.
	Steps []Step `cbor:"t"`
	// Times is the number of occurrences of a scheduled job; zero for a job that
	// runs once and immediately.
	Times int `cbor:"n,omitempty"`
	// FirstDue is the due time of occurrence zero, in Unix milliseconds.
	FirstDue int64 `cbor:"f,omitempty"`
	// Interval is the time between two occurrences, in milliseconds.
	Interval int64 `cbor:"v,omitempty"`
	// Accepted is when the entry accepted the job, in Unix milliseconds of its
	// clock.
	Accepted int64 `cbor:"a"`
}

// Owner returns the job's client account and queue.
func (w *Work) Owner() Owner { return Owner{Account: w.Account, Queue: w.Queue} }

// PeakAccelerators returns the accelerators of the job's largest step.
func (w *Work) PeakAccelerators() int {
	n := 0
	for i := range w.Steps {
		n = max(n, w.Steps[i].Count*w.Steps[i].Need.Accelerators)
	}
	return n
}

// Terms are the rules of a queue by which the tasks of a job are run. They hold when the
// operators remove the queue while the job is not done; until then the policy holds.
type Terms struct {
	// Service is the group of backend servers that run the tasks; empty in the record of
	// a build that kept no terms.
	Service  string  `cbor:"s"`
	Priority int     `cbor:"p,omitempty"`
	Attempts int     `cbor:"a,omitempty"`
	Stretch  float64 `cbor:"r,omitempty"`
	// Target is in milliseconds.
	Target int64 `cbor:"t,omitempty"`
}

// Step is a group of identical tasks.
type Step struct {
	Count    int                 `cbor:"n"`
	Need     berylroom.Resources `cbor:"r"`
	Estimate int64               `cbor:"e,omitempty"` // Milliseconds, as declared.
	// After lists earlier steps that must be done first.
	After []int `cbor:"a,omitempty"`
	// Gang means that all tasks start together and end together.
	Gang bool `cbor:"g,omitempty"`
	// OneRack means that the tasks are slower if they are spread over several
	// racks.
	OneRack bool `cbor:"k,omitempty"`
	// Checkpoints means that the tasks write checkpoints.
	Checkpoints bool `cbor:"s,omitempty"`
	// MayOverlap means that several runs of one task may exist at the same time.
	MayOverlap bool `cbor:"c,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"l,omitempty"`
	// Label is a label that the backend server must have; empty for any.
	Label string `cbor:"b,omitempty"`
	// Rack is where the data is; elsewhere the tasks are slower.
	Rack string `cbor:"d,omitempty"`
	// MaxPerHost limits the tasks on one backend server; zero means no limit.
	MaxPerHost int `cbor:"p,omitempty"`
	// BestEffortCPU means that Need.Millicores is not deducted from the capacity
	// of the backend server.
	BestEffortCPU bool `cbor:"f,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"i,omitempty"`
	// LatencyBound limits the tail latency of a long-running task, in
	// milliseconds.
	LatencyBound int64 `cbor:"y,omitempty"`
	// MaxUnavailable is how many long-running tasks the system itself may make
	// unavailable at the same time.
	MaxUnavailable int `cbor:"m,omitempty"`
}

// Resources returns what one task uses of the capacity of a backend server.
func (s Step) Resources() berylroom.Resources {
	r := s.Need
	if s.BestEffortCPU {
		r.Millicores = 0
	}
	return r
}

// Occurrences returns how often the steps run, at least once.
func (w *Work) Occurrences() int { return max(w.Times, 1) }

// Load returns what the job takes of the memory of an entry, in tasks: those of all
// occurrences, the steps, and the text that the client sent.
func (w *Work) Load() int {
	tasks := 0
	for i := range w.Steps {
		tasks += w.Steps[i].Count
	}
	return tasks*w.Occurrences() + w.EndedLoad()
}

// EndedLoad returns what the job takes of the memory of an entry between its end and its
// removal, when its tasks take none, in the unit of Load.
func (w *Work) EndedLoad() int {
	text := len(w.Spec)
	for i := range w.Steps {
		s := &w.Steps[i]
		text += len(s.Label) + len(s.Rack) + len(s.Image) + _indexSize*len(s.After)
	}
	return _stepLoad*len(w.Steps) + text/_taskSize
}

const (
	// _taskSize is about the memory of a task with progress, in bytes, and _stepLoad that
	// of a step, in tasks. _indexSize is that of an index in Step.After, in bytes.
	_taskSize  = 128
	_stepLoad  = 2
	_indexSize = 8
)

// Due returns when occurrence k may start. It is the zero time for a job that
// may start immediately.
func (w *Work) Due(k int) time.Time {
	if w.Times == 0 {
		return time.Time{}
	}
	return time.UnixMilli(w.FirstDue + int64(k)*w.Interval)
}

// Ref identifies a task by job, occurrence, step and index.
type Ref struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the name of the task as used with backend servers.
func (r Ref) String() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// _refParts is the number of parts of a task's name.
const _refParts = 4

// ParseRef parses the name of a task. It returns false if s is not such a name.
func ParseRef(s string) (Ref, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != _refParts {
		return Ref{}, false
	}
	var n [_refParts - 1]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Ref{}, false
		}
		n[i] = v
	}
	return Ref{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, true
}
