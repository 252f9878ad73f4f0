package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// taskSpec is what a runner knows of a task beside its name: how many accelerators it
// uses and how long it works. A duration of zero means that it works until it is stopped.
type taskSpec struct {
	gpu  int
	work time.Duration
}

// runner is a stand-in of one runner. It guards its accelerators, honours leases, fences
// and stops, and never crashes.
type runner struct {
	id, addr, control, zone string
	gpus                    int
	rec                     *recorder
	born                    time.Time

	// kind is the label that names the runner's kind.
	kind string

	mu     sync.Mutex
	server *http.Server
	// firstBeat is when this incarnation sends its first status report.
	firstBeat time.Time
	// lateStart makes the next start get no answer and be carried out after that time; zero
	// for none. It has no effect on which incarnation carries it out.
	lateStart time.Duration
	// onLate is called when a start was held back.
	onLate func()
	// sick makes the runner refuse each start with 503 and do nothing.
	sick     bool
	fence    int64
	deadline int64
	runs     map[string]*run
	ends     [][]any
	count    int64
	highest  map[string]int
	seq      int
}

type run struct {
	run   int
	spec  string
	began time.Time
	taskSpec
}

func startRunner(rec *recorder, id, addr, control, zone, kind string, gpus int) (*runner, error) {
	r := &runner{
		id: id, addr: addr, control: control, zone: zone, kind: kind, gpus: gpus, rec: rec, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{},
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// listen opens the runner's address.
func (r *runner) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.start)
	mux.HandleFunc("POST /run-stop", r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	lis, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server := r.server
	go func() { _ = server.Serve(lis) }()
	return nil
}

// crash ends the runner with all that it runs. It starts again under its id after down,
// knows nothing of before, and sends its first status report firstBeat later.
func (r *runner) crash(down, firstBeat time.Duration) error {
	r.mu.Lock()
	_ = r.server.Close()
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		r.end(task, "lost with the runner")
	}
	r.firstBeat = time.Now().Add(down + firstBeat)
	r.mu.Unlock()
	r.rec.line("runner %s: crashed", r.id)
	time.Sleep(down)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now()
	r.fence, r.deadline, r.count, r.seq = 0, 0, 0, 0
	r.ends = nil
	clear(r.runs)
	clear(r.highest)
	r.rec.line("runner %s: started again under its id, born %d", r.id, r.born.UnixMilli())
	return r.listen()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// beat sends a status report every 1.5 s.
func (r *runner) beat() {
	client := http.Client{Timeout: time.Second}
	for {
		r.mu.Lock()
		if wait := time.Until(r.firstBeat); wait > 0 {
			r.mu.Unlock()
			time.Sleep(min(wait, 10*time.Millisecond))
			continue
		}
		r.seq++
		body := fmt.Sprintf(`{"service":"s1","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,`+
			`"capacity":{"cpu":64000,"memMb":131072,"gpu":%d},"labels":[%q,"r1-1"],"clockMs":%d,"born":%d,"seq":%d}`,
			r.addr, r.zone, r.gpus, r.kind, r.clock(), r.born.UnixMilli(), r.seq)
		r.mu.Unlock()
		resp, err := client.Post("http://"+r.control+"/instances/"+r.id+"/heartbeat", "application/json", bytes.NewReader([]byte(body)))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(1500 * time.Millisecond)
	}
}

// settle ends the runs that are complete, and all if the lease has expired. The caller
// holds mu.
func (r *runner) settle() {
	lapsed := r.clock() > r.deadline
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		x := r.runs[task]
		switch {
		case lapsed:
			r.end(task, "lapsed")
		case x.work > 0 && time.Since(x.began) >= x.work:
			r.end(task, "done")
		}
	}
}

func (r *runner) end(task, how string) {
	x := r.runs[task]
	delete(r.runs, task)
	r.count++
	r.ends = append(r.ends, []any{r.count, task, x.run, how, ""})
	r.highest[task] = max(r.highest[task], x.run)
	r.rec.ended(task, x.run, r.id, how)
}

// call decodes a call and checks instance and fence. It returns false if it has answered.
func (r *runner) call(w http.ResponseWriter, req *http.Request, body any, fence *int64) bool {
	if target := req.Header.Get("X-Berylglade-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(req.Body).Decode(body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	r.settle()
	if *fence < r.fence {
		r.reply(w, http.StatusConflict, "fence")
		return false
	}
	r.fence = *fence
	return true
}

func (r *runner) reply(w http.ResponseWriter, status int, reason string) {
	out := map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli()}
	if reason != "" {
		out["reason"] = reason
	}
	answer(w, status, out)
}

func (r *runner) start(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b startBody
	if !r.call(w, req, &b, &b.Fence) {
		return
	}
	if late := r.lateStart; late > 0 {
		r.lateStart = 0
		r.rec.line("runner %s: gives no answer to the start of %s run %d, and carries it out %v later", r.id, b.Task, b.Run, late)
		time.AfterFunc(late, func() { r.carryOut(b) })
		r.onLate()
		r.mu.Unlock()
		<-req.Context().Done()
		r.mu.Lock()
		return
	}
	if r.sick {
		r.rec.line("runner %s: answers 503 to the start of %s run %d", r.id, b.Task, b.Run)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, reason := r.begin(b)
	r.reply(w, status, reason)
}

// startBody is the body of a start.
type startBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
}

// carryOut carries a start out whose caller gets no answer.
func (r *runner) carryOut(b startBody) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	reason := "fence"
	if b.Fence >= r.fence {
		r.fence = b.Fence
		_, reason = r.begin(b)
	}
	if reason != "" {
		r.rec.line("runner %s: carried the held start of %s run %d out, without effect: %s", r.id, b.Task, b.Run, reason)
		return
	}
	r.rec.line("runner %s: carried the held start of %s run %d out", r.id, b.Task, b.Run)
}

// extend applies a deadline, which is shortened to the longest lease.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+_maxHold.Milliseconds()))
}

// _maxHold is the longest lease.
const _maxHold = 6 * time.Second

// begin starts a run unless it has to be refused. The caller holds mu.
func (r *runner) begin(b startBody) (status int, reason string) {
	spec := r.rec.specOf(b.Task)
	used := 0
	for _, x := range r.runs {
		used += x.gpu
	}
	switch x := r.runs[b.Task]; {
	case x != nil && x.run == b.Run:
		return http.StatusOK, ""
	case b.Run <= r.highest[b.Task]:
		r.extend(b.DeadlineMs)
		return http.StatusConflict, "old"
	case b.DeadlineMs < r.clock():
		return http.StatusConflict, "late"
	case used+spec.gpu > r.gpus:
		r.extend(b.DeadlineMs)
		return http.StatusConflict, "room"
	default:
		r.extend(b.DeadlineMs)
		r.runs[b.Task] = &run{run: b.Run, spec: b.Spec, began: time.Now(), taskSpec: spec}
		r.rec.began(b.Task, b.Run, r.id, b.Spec)
		return http.StatusOK, ""
	}
}

func (r *runner) stop(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b struct {
		Task  string `json:"task"`
		Run   int    `json:"run"`
		Fence int64  `json:"fence"`
	}
	if !r.call(w, req, &b, &b.Fence) {
		return
	}
	if x := r.runs[b.Task]; x != nil && x.run <= b.Run {
		r.end(b.Task, "stopped")
	}
	r.highest[b.Task] = max(r.highest[b.Task], b.Run)
	r.reply(w, http.StatusOK, "")
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b struct {
		DeadlineMs int64 `json:"deadlineMs"`
		Fence      int64 `json:"fence"`
		SeenUpto   int64 `json:"seenUpto"`
		WaitMs     int64 `json:"waitMs"`
	}
	if !r.call(w, req, &b, &b.Fence) {
		return
	}
	r.extend(b.DeadlineMs)
	until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond)
	for n := r.count; r.count == n && time.Now().Before(until); {
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		r.settle()
	}
	r.ends = slices.DeleteFunc(r.ends, func(e []any) bool { return e[0].(int64) <= b.SeenUpto })
	running := [][]any{}
	for _, task := range slices.Sorted(maps.Keys(r.runs)) {
		x := r.runs[task]
		percent := int64(100)
		if x.work > 0 {
			percent = min(99, int64(time.Since(x.began)*100/x.work))
		}
		running = append(running, []any{task, x.run, "", percent, 1000})
	}
	answer(w, http.StatusOK, map[string]any{
		"clockMs": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": r.ends[:min(len(r.ends), 500)],
	})
}

// jobOf returns the job of a task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// setSick makes the runner refuse starts, or accept them again.
func (r *runner) setSick(sick bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sick = sick
	r.rec.line("runner %s: refuses starts: %v", r.id, sick)
}
