package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for one incarnation of a backend server, as PROTOCOL.md
// describes a sound one. A task works for the time that its spec gives ("ms=N").
type runner struct {
	id, addr, agent, zone, rack string
	born                        time.Time
	rec                         *recorder
	srv                         *http.Server
	stop                        chan struct{}

	mu       sync.Mutex
	seq      int64
	fence    int64
	deadline int64
	runs     map[string]*taskRun
	ends     [][]any
	count    int64
	stopped  map[string]int
	draining bool
	gone     bool
	// onEnd is called with each end while mu is held; nil if nothing is to be done.
	onEnd func(task string, run int, how string)
}

type taskRun struct {
	run     int
	began   time.Time
	work    time.Duration
	need    int
	cpu     int
	saved   string
	lasting bool
	// fails is true if the run ends as failed.
	fails bool
}

const (
	_runnerGPU  = 8
	_maxHold    = 6000
	_beatPeriod = 1500 * time.Millisecond
)

func startRunner(id, addr, agent, zone, rack string, rec *recorder) (*runner, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &runner{
		id: id, addr: addr, agent: agent, zone: zone, rack: rack, born: time.Now(), rec: rec, stop: make(chan struct{}),
		runs: map[string]*taskRun{}, stopped: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", s.handleStart)
	mux.HandleFunc("POST /run-stop", s.handleStop)
	mux.HandleFunc("POST /hold", s.handleHold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(lis) }()
	go s.beat()
	go s.tick()
	rec.add("runner %s starts, born %d", id, s.born.UnixMilli())
	return s, nil
}

func (s *runner) clock() int64 { return time.Since(s.born).Milliseconds() + 1 }

// crash ends the incarnation and everything that runs there.
func (s *runner) crash() {
	s.mu.Lock()
	s.gone = true
	for _, task := range slices.Sorted(maps.Keys(s.runs)) {
		s.rec.ended(task, s.runs[task].run, s.id, "crash")
	}
	clear(s.runs)
	s.mu.Unlock()
	close(s.stop)
	_ = s.srv.Close()
	s.rec.add("runner %s ends", s.id)
}

func (s *runner) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.seq++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": _service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": 64000, "memMb": 131072, "gpu": _runnerGPU}, "labels": []string{"a", s.rack},
			"clockMs": s.clock(), "born": s.born.UnixMilli(), "seq": s.seq,
		})
		s.mu.Unlock()
		pause := _beatPeriod
		resp, err := client.Post("http://"+s.agent+"/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode/100 != 2 {
			pause = 300 * time.Millisecond
		}
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (s *runner) tick() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}
}

func (s *runner) expire() {
	lapsed := s.clock() > s.deadline
	for task, t := range s.runs {
		switch {
		case lapsed:
			s.end(task, "lapsed")
		case t.fails && time.Since(t.began) >= t.work:
			s.end(task, "failed")
		case !t.lasting && time.Since(t.began) >= t.work:
			s.end(task, "done")
		}
	}
}

func (s *runner) end(task, how string) {
	t := s.runs[task]
	delete(s.runs, task)
	s.count++
	s.ends = append(s.ends, []any{s.count, task, t.run, how, t.saved})
	s.stopped[task] = max(s.stopped[task], t.run)
	s.rec.ended(task, t.run, s.id, how)
	if s.onEnd != nil {
		s.onEnd(task, t.run, how)
	}
}

type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Saved      string `json:"saved"`
	SeenUpto   int64  `json:"seenUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// decode reads a call and checks the incarnation and the fence. It holds mu if it returns
// true.
func (s *runner) decode(w http.ResponseWriter, r *http.Request) (callBody, bool) {
	var b callBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	s.mu.Lock()
	if want := r.Header.Get("X-Berylglade-Target-Instance"); s.gone || want != "" && want != s.id {
		s.mu.Unlock()
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": s.clock(), "born": s.born.UnixMilli()})
		return b, false
	}
	if b.Fence < s.fence {
		s.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": s.clock(), "reason": "fence", "born": s.born.UnixMilli()})
		return b, false
	}
	s.fence = b.Fence
	return b, true
}

// extend applies a lease deadline, which is bounded and never gets earlier.
func (s *runner) extend(deadline int64) {
	s.deadline = max(s.deadline, min(deadline, s.clock()+_maxHold))
}

func (s *runner) handleStart(w http.ResponseWriter, r *http.Request) {
	b, ok := s.decode(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	spec := parseSpec(b.Spec)
	used := 0
	if spec.need > 0 {
		for _, t := range s.runs {
			used += t.need
		}
	}
	run := s.runs[b.Task]
	reason := ""
	switch {
	case run != nil && run.run == b.Run:
	case s.stopped[b.Task] >= b.Run || run != nil:
		reason = "old"
		s.extend(b.DeadlineMs)
	case b.DeadlineMs < s.clock():
		reason = "late"
	case used+spec.need > _runnerGPU:
		reason = "room"
		s.extend(b.DeadlineMs)
	default:
		s.extend(b.DeadlineMs)
		spec.run, spec.began, spec.saved = b.Run, time.Now(), b.Saved
		s.runs[b.Task] = &spec
		s.rec.started(b.Task, b.Run, s.id, b.Spec)
	}
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": s.clock(), "reason": reason, "born": s.born.UnixMilli()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": s.clock(), "born": s.born.UnixMilli()})
}

// parseSpec reads "ms=N gpu=N cpu=N", "lasting" and "fails".
func parseSpec(spec string) taskRun {
	t := taskRun{work: time.Second}
	for _, f := range strings.Fields(spec) {
		name, value, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "ms":
			t.work = time.Duration(n) * time.Millisecond
		case "gpu":
			t.need = n
		case "cpu":
			t.cpu = n
		case "lasting":
			t.lasting = true
		case "fails":
			t.fails = true
		}
	}
	return t
}

func (s *runner) handleStop(w http.ResponseWriter, r *http.Request) {
	b, ok := s.decode(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	if run := s.runs[b.Task]; run != nil && run.run == b.Run {
		s.end(b.Task, "stopped")
	}
	s.stopped[b.Task] = max(s.stopped[b.Task], b.Run)
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": s.clock(), "born": s.born.UnixMilli()})
}

func (s *runner) handleHold(w http.ResponseWriter, r *http.Request) {
	b, ok := s.decode(w, r)
	if !ok {
		return
	}
	defer s.mu.Unlock()
	s.extend(b.DeadlineMs)
	for len(s.ends) > 0 && s.ends[0][0].(int64) <= b.SeenUpto {
		e := s.ends[0]
		s.rec.noted(e[1].(string), e[2].(int), s.id, e[3].(string))
		s.ends = s.ends[1:]
	}
	until := time.Now().Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
	for n := s.count; s.count == n && time.Now().Before(until) && !s.gone; {
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
	}
	running := [][]any{}
	for task, t := range s.runs {
		percent := 100
		if !t.lasting {
			percent = int(min(100*time.Since(t.began)/max(t.work, 1), 100))
		}
		running = append(running, []any{task, t.run, t.saved, percent, 1000})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": s.clock(), "born": s.born.UnixMilli(), "running": running, "ended": s.ends[:min(len(s.ends), 500)]})
}

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	mu     sync.Mutex
	out    io.Writer
	began  time.Time
	active map[string]string
	// twice has what broke the rule TWICE.
	twice []string
	// done has the tasks of which an end as done was taken note of, finished those that a
	// runner has ended so.
	done, finished map[string]bool
}

func newRecorder(out io.Writer) *recorder {
	return &recorder{out: out, began: time.Now(), active: map[string]string{}, done: map[string]bool{}, finished: map[string]bool{}}
}

func (c *recorder) add(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write(format, args...)
}

func (c *recorder) write(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

func (c *recorder) started(task string, run int, on, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write("start  %s run %d on %s", task, run, on)
	if other := c.active[task]; other != "" {
		c.twice = append(c.twice, task+" starts on "+on+" while it runs on "+other)
	}
	if c.done[task] {
		c.twice = append(c.twice, task+" starts on "+on+" after its end was taken note of")
	}
	c.active[task] = on
}

func (c *recorder) ended(task string, run int, on, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write("end    %s run %d on %s: %s", task, run, on, how)
	delete(c.active, task)
	if how == "done" {
		c.finished[task] = true
	}
}

func (c *recorder) noted(task string, run int, on, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write("noted  %s run %d on %s: %s", task, run, on, how)
	if how == "done" {
		c.done[task] = true
	}
}

// runningOrDone reports whether a run of the task works, or has ended as done.
func (c *recorder) runningOrDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[task] != "" || c.finished[task]
}
