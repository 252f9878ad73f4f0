package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a backend server. It runs a task for the time that its spec
// tells ("work=1500", in milliseconds), keeps leases, and guards its capacity: the step's
// demand is in the spec too ("cpu=100").
type runner struct {
	id, addr, control, zone, service, rack string
	born                                   time.Time
	rec                                    *recorder
	check                                  *checker

	mu       sync.Mutex
	seq      int64
	fence    int64
	deadline int64
	running  map[string]*task
	// last is the highest run of each task that ended or was stopped.
	last  map[string]int
	ends  []end
	count int64
	// grown is closed when an end is added.
	grown chan struct{}
	stop  chan struct{}
	http  *http.Server
}

type task struct {
	run   int
	cpu   int
	until time.Time
	timer *time.Timer
}

type end struct {
	n    int64
	task string
	run  int
	how  string
}

const (
	runnerCPU  = 64000
	runnerMem  = 131072
	runnerGPU  = 8
	maxHoldMs  = 6000
	listedEnds = 500
	beatTime   = 1500 * time.Millisecond
)

func startRunner(id, addr, control, zone, service, rack string, rec *recorder, check *checker) (*runner, error) {
	r := &runner{
		id: id, addr: addr, control: control, zone: zone, service: service, rack: rack, born: time.Now(), rec: rec, check: check,
		running: map[string]*task{}, last: map[string]int{}, grown: make(chan struct{}), stop: make(chan struct{}),
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handleStart)
	mux.HandleFunc("POST /run-stop", r.handleStop)
	mux.HandleFunc("POST /hold", r.handleHold)
	r.http = &http.Server{Handler: mux}
	go func() { _ = r.http.Serve(lis) }()
	go r.beat()
	go r.watch()
	return r, nil
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

func (r *runner) beat() {
	client := http.Client{Timeout: time.Second}
	for {
		r.mu.Lock()
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": runnerCPU, "memMb": runnerMem, "gpu": runnerGPU}, "labels": []string{"a", r.rack},
			"clockMs": r.clock(), "seq": r.seq, "born": r.born.UnixMilli(),
		})
		r.mu.Unlock()
		pause := beatTime
		resp, err := client.Post("http://"+r.control+"/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			pause = 200 * time.Millisecond
		} else {
			_ = resp.Body.Close()
			if resp.StatusCode/100 != 2 {
				r.rec.note(r.id, "status report %d answered %d", r.seq, resp.StatusCode)
			}
		}
		select {
		case <-r.stop:
			return
		case <-time.After(pause):
		}
	}
}

// watch ends everything when the lease has run out.
func (r *runner) watch() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		if len(r.running) > 0 && r.clock() > r.deadline {
			r.check.lapse(r.id)
			for name := range r.running {
				r.end(name, "lapsed")
			}
		} else if r.clock() > r.deadline {
			r.check.lapse(r.id)
		}
		r.mu.Unlock()
	}
}

// end lists the end of a task. The caller holds mu.
func (r *runner) end(name, how string) {
	t := r.running[name]
	t.timer.Stop()
	delete(r.running, name)
	r.count++
	r.ends = append(r.ends, end{r.count, name, t.run, how})
	r.last[name] = max(r.last[name], t.run)
	r.check.ended(r.id, r.count, name, t.run, how)
	close(r.grown)
	r.grown = make(chan struct{})
}

func (r *runner) reply(w http.ResponseWriter, status int, v map[string]any) {
	v["clockMs"] = r.clock()
	v["born"] = r.born.UnixMilli()
	answer(w, status, v)
}

// accept decodes a call and checks instance and fence. The caller holds mu.
func (r *runner) accept(w http.ResponseWriter, req *http.Request, body any, fence *int64) bool {
	if json.NewDecoder(req.Body).Decode(body) != nil {
		r.reply(w, http.StatusBadRequest, map[string]any{})
		return false
	}
	if to := req.Header.Get("X-Berylglade-Target-Instance"); to != "" && to != r.id {
		r.reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if *fence < r.fence {
		r.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	r.fence = *fence
	return true
}

func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+maxHoldMs))
}

func setting(spec, name string, otherwise int) int {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return n
			}
		}
	}
	return otherwise
}

func (r *runner) handleStart(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Task, Spec string
		Run        int
		DeadlineMs int64
		Fence      int64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(w, req, &b, &b.Fence) {
		return
	}
	if t := r.running[b.Task]; t != nil && t.run == b.Run {
		r.extend(b.DeadlineMs)
		r.reply(w, http.StatusOK, map[string]any{})
		return
	}
	cpu := setting(b.Spec, "cpu", 1000)
	used := 0
	for _, t := range r.running {
		used += t.cpu
	}
	reason := ""
	switch {
	case r.last[b.Task] >= b.Run:
		reason = "old"
	case b.DeadlineMs < r.clock():
		reason = "late"
	case used+cpu > runnerCPU || r.running[b.Task] != nil:
		reason = "room"
	}
	if reason != "late" {
		r.extend(b.DeadlineMs)
	}
	if reason != "" {
		r.reply(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	work := time.Duration(setting(b.Spec, "work", 1000)) * time.Millisecond
	t := &task{run: b.Run, cpu: cpu, until: time.Now().Add(work)}
	name := b.Task
	t.timer = time.AfterFunc(work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[name] == t {
			r.end(name, "done")
		}
	})
	r.running[name] = t
	r.check.started(r.id, r.zone, name, b.Run)
	r.reply(w, http.StatusOK, map[string]any{})
}

func (r *runner) handleStop(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Task  string
		Run   int
		Fence int64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(w, req, &b, &b.Fence) {
		return
	}
	if t := r.running[b.Task]; t != nil && t.run == b.Run {
		r.end(b.Task, "stopped")
	}
	r.last[b.Task] = max(r.last[b.Task], b.Run)
	r.reply(w, http.StatusOK, map[string]any{})
}

func (r *runner) handleHold(w http.ResponseWriter, req *http.Request) {
	var b struct {
		DeadlineMs, SeenUpto, WaitMs int64
		Fence                        int64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(w, req, &b, &b.Fence) {
		return
	}
	if b.DeadlineMs > 0 {
		r.extend(b.DeadlineMs)
	}
	for len(r.ends) > 0 && r.ends[0].n <= b.SeenUpto {
		r.check.noted(r.id, r.ends[0])
		r.ends = r.ends[1:]
	}
	if b.WaitMs > 0 {
		timeout := time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		for waiting := true; waiting && len(r.ends) == 0; {
			grown := r.grown
			r.mu.Unlock()
			select {
			case <-grown:
			case <-timeout:
				waiting = false
			case <-req.Context().Done():
				waiting = false
			}
			r.mu.Lock()
		}
	}
	names := make([]string, 0, len(r.running))
	for name := range r.running {
		names = append(names, name)
	}
	sort.Strings(names)
	running := make([][]any, 0, len(names))
	for _, name := range names {
		t := r.running[name]
		running = append(running, []any{name, t.run, "", 50, t.cpu})
	}
	ended := [][]any{}
	for _, e := range r.ends[:min(len(r.ends), listedEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	r.reply(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// close ends the runner at the end of a case.
func (r *runner) close() {
	close(r.stop)
	_ = r.http.Close()
}

func (r *runner) String() string { return fmt.Sprintf("%s at %s", r.id, r.addr) }
