// Package berylstandworker is a stand-in for a worker.
//
// [Server] is an HTTP handler that runs simulated tasks under leases: a task runs
// as long as its payload says, expires when its lease ends and is stopped when it
// exceeds its memory limit. The ledger has the start and end of every task.
// [Faults] can be injected at run time. The state is updated whenever a request
// arrives; end times are computed, so they are exact without timers.
package berylstandworker

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"berylglade/berylclock"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
	"berylglade/berylworker"
)

const (
	// _maxBody is the largest body of a request in bytes.
	_maxBody = 16 << 20
	// _endedTaskRetention is how long an ended task stays in the task list.
	_endedTaskRetention = time.Minute
)

// Settings describe a worker.
type Settings struct {
	Total berylshape.Shape `json:"total"`
	// UsageLag is the age of the usage that the worker reports. It is at most a
	// minute, since ended tasks are removed from the task list after that.
	UsageLag berylduration.Duration `json:"lag,omitempty"`
}

// Faults are the injected faults.
type Faults struct {
	// Fail makes every newly started task fail shortly after its start.
	Fail bool `json:"fail,omitempty"`
	// SlowFactor is the factor by which newly started tasks take longer; zero
	// means no fault.
	SlowFactor float64 `json:"slow,omitempty"`
	// Delay is the delay before each request, except those for the ledger and
	// faults.
	Delay berylduration.Duration `json:"delay,omitempty"`
	// Down makes every request fail, except those for the ledger and faults.
	Down bool `json:"down,omitempty"`
}

// Record is one task in the ledger.
type Record struct {
	ID          string            `json:"id"`
	Labels      map[string]string `json:"labels,omitempty"`
	Start       time.Time         `json:"start"`
	End         time.Time         `json:"end,omitzero"`
	State       berylworker.State `json:"state"`
	Checkpoints int               `json:"checkpoints,omitempty"`
}

// Server is the stand-in for a worker.
type Server struct {
	mux      http.ServeMux
	settings Settings
	clock    berylclock.Clock

	mu     sync.Mutex
	faults Faults
	// tasks are the tasks that are running or ended within _endedTaskRetention,
	// by ID.
	tasks map[string]*task
	// history has all tasks in the order of their starts.
	history []*task
}

var _ http.Handler = (*Server)(nil)

// New returns a worker without tasks or faults.
func New(settings Settings, clock berylclock.Clock) *Server {
	s := &Server{settings: settings, clock: clock, tasks: map[string]*task{}}
	s.handle("POST /tasks", s.start)
	s.handle("POST /tasks/{id}/renew", s.renew)
	s.handle("POST /tasks/{id}/checkpoint", s.checkpoint)
	s.handle("POST /tasks/{id}/throttle", s.throttle)
	s.handle("POST /tasks/{id}/stop", s.stop)
	s.handle("GET /tasks", s.list)
	s.handle("GET /usage", s.usage)
	s.mux.HandleFunc("GET /ledger", s.getLedger)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Ledger returns the records of all tasks in the order of their starts.
func (s *Server) Ledger() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(s.clock())
	records := make([]Record, 0, len(s.history))
	for _, t := range s.history {
		records = append(records, Record{
			ID:          t.ID,
			Labels:      t.Labels,
			Start:       t.started,
			End:         t.ended,
			State:       t.State,
			Checkpoints: t.checkpoints,
		})
	}
	return records
}

// handle registers a handler that is called with s.mu locked and the state
// updated. Requests fail while the worker is down.
func (s *Server) handle(pattern string, f func(now time.Time, r *http.Request) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, _maxBody)
		s.mu.Lock()
		delay := s.faults.Delay.Std()
		s.mu.Unlock()
		time.Sleep(delay)

		s.mu.Lock()
		now := s.clock()
		s.advance(now)
		var reply any
		err := berylerror.Unavailable.Errorf("worker is down")
		if !s.faults.Down {
			reply, err = f(now, r)
		}
		s.mu.Unlock()
		write(w, reply, err)
	})
}

func write(w http.ResponseWriter, reply any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		kind := berylerror.Of(err)
		w.WriteHeader(kind.Status())
		reply = berylworker.Problem{Kind: kind.String(), Text: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// advance updates the state to now: it ends the tasks that are due and removes
// those from the task list that ended long ago.
func (s *Server) advance(now time.Time) {
	for id, t := range s.tasks {
		t.advance(now)
		if !t.ended.IsZero() && now.Sub(t.ended) > _endedTaskRetention {
			delete(s.tasks, id)
		}
	}
}

func (s *Server) start(now time.Time, r *http.Request) (any, error) {
	var req berylworker.Task
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return nil, berylerror.Invalid.Wrap(err, "decode task")
	}
	if req.ID == "" || req.Lease <= 0 {
		return nil, berylerror.Invalid.Errorf("task has no ID or no lease")
	}
	if err := req.Shape.Check(); err != nil {
		return nil, err
	}
	if old := s.tasks[req.ID]; old != nil {
		if old.State == berylworker.Running {
			return old.Status, nil
		}
		return nil, berylerror.Conflict.Errorf("task %s has ended", req.ID)
	}
	if used := s.reserved().Add(req.Shape); !used.Fits(s.settings.Total) {
		return nil, berylerror.Conflict.Errorf("reservations of %v would exceed the capacity %v", used, s.settings.Total)
	}
	t, err := newTask(now, req, s.faults)
	if err != nil {
		return nil, err
	}
	s.tasks[t.ID] = t
	s.history = append(s.history, t)
	return t.Status, nil
}

// reserved returns the resources that running tasks reserve.
func (s *Server) reserved() berylshape.Shape {
	var sum berylshape.Shape
	for _, t := range s.tasks {
		if t.State == berylworker.Running {
			sum = sum.Add(t.Shape)
		}
	}
	return sum
}

// runningTask returns the task in the path of a request, which must be running.
func (s *Server) runningTask(r *http.Request) (*task, error) {
	t := s.tasks[r.PathValue("id")]
	if t == nil || t.State != berylworker.Running {
		return nil, berylerror.Missing.Errorf("task %s is not running", r.PathValue("id"))
	}
	return t, nil
}

func (s *Server) renew(now time.Time, r *http.Request) (any, error) {
	var req berylworker.Task
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.Lease <= 0 {
		return nil, berylerror.Invalid.Errorf("renewal has no lease")
	}
	t, err := s.runningTask(r)
	if err != nil {
		return nil, err
	}
	t.expires = now.Add(req.Lease.Std())
	return t.Status, nil
}

func (s *Server) checkpoint(_ time.Time, r *http.Request) (any, error) {
	t, err := s.runningTask(r)
	if err != nil {
		return nil, err
	}
	t.checkpoints++
	return t.Status, nil
}

func (s *Server) throttle(now time.Time, r *http.Request) (any, error) {
	t, err := s.runningTask(r)
	if err != nil {
		return nil, err
	}
	t.throttle(now)
	return t.Status, nil
}

func (s *Server) stop(now time.Time, r *http.Request) (any, error) {
	t := s.tasks[r.PathValue("id")]
	if t == nil {
		return nil, berylerror.Missing.Errorf("unknown task %s", r.PathValue("id"))
	}
	if t.State == berylworker.Running {
		t.end(now, berylworker.Stopped, "stopped by request")
	}
	return t.Status, nil
}

func (s *Server) list(time.Time, *http.Request) (any, error) {
	l := berylworker.List{Tasks: make([]berylworker.Status, 0, len(s.tasks))}
	for _, t := range s.tasks {
		l.Tasks = append(l.Tasks, t.Status)
	}
	slices.SortFunc(l.Tasks, func(a, b berylworker.Status) int { return cmp.Compare(a.ID, b.ID) })
	return l, nil
}

func (s *Server) usage(now time.Time, _ *http.Request) (any, error) {
	at := now.Add(-s.settings.UsageLag.Std())
	u := berylworker.Usage{Tasks: map[string]berylshape.Shape{}}
	for id, t := range s.tasks {
		if used := t.used(at); !used.Empty() {
			u.Tasks[id] = used
			u.Used = u.Used.Add(used)
		}
	}
	return u, nil
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) { write(w, s.Ledger(), nil) }

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxBody))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		write(w, nil, berylerror.Invalid.Wrap(err, "decode faults"))
		return
	}
	s.SetFaults(f)
	write(w, f, nil)
}
