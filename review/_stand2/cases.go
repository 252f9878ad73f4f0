package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cases are the cases by the name that their run.sh gives.
var cases = map[string]func(w *world) int{
	"ends": playEnds, "record": playRecord, "tasks": playTasks, "batch": playBatch, "report": playReport,
}

// playEnds runs jobs whose tasks end during an outage of the store.
func playEnds(w *world) int {
	ids := make([]string, 9)
	for i := range ids {
		ids[i] = newID()
		if !w.submit(ids[i], simpleJob(210, 100, 6000), i) {
			w.rec.note("case", "can't run: a job was not accepted")
			return 2
		}
		time.Sleep(600 * time.Millisecond)
	}
	w.rec.note("case", "tasks: %s", w.check.counts())
	if w.trouble {
		w.rec.note("store", "down: answers 503 to all calls")
		w.store.setDown(true)
	}
	time.Sleep(4200 * time.Millisecond)
	w.store.setDown(false)
	w.rec.note("store", "up")
	w.rec.note("case", "tasks: %s", w.check.counts())
	until := time.Now().Add(60 * time.Second)
	for _, id := range ids {
		for w.ask(id) != "completed" && time.Now().Before(until) {
			time.Sleep(500 * time.Millisecond)
		}
		w.rec.note("client", "job %s: %s", id, w.ask(id))
	}
	time.Sleep(2 * time.Second)
	return w.verdict(w.check.twice())
}

// largeJob returns a job whose body has nearly size bytes.
func largeJob(size int) string {
	const steps = 60
	step := func(image string) string {
		return fmt.Sprintf(`{"count":1,"cpu":100,"memMb":64,"estimateMs":200,"image":%q}`, image)
	}
	frame := len(`{"spec":"work=200 cpu=100","steps":[`) + steps*(len(step(""))+1) + len(`]}`)
	list := make([]string, steps)
	for i := range list {
		list[i] = step(strings.Repeat("x", (size-frame)/steps))
	}
	return `{"spec":"work=200 cpu=100","steps":[` + strings.Join(list, ",") + `]}`
}

// askAll asks for accepted jobs for some seconds and returns those of which no entry tells
// the state.
func (w *world) askAll(accepted []string) []string {
	var broken []string
	for _, id := range accepted {
		state := w.ask(id)
		for range 4 {
			if state != "" {
				break
			}
			time.Sleep(time.Second)
			state = w.ask(id)
		}
		w.rec.note("client", "job %s: %q", id, state)
		if state == "" || state == "gone" {
			broken = append(broken, fmt.Sprintf("accepted job %s: no entry tells its state (%q)", id, state))
		}
	}
	return broken
}

// playBatch submits large jobs at once while the store is slow.
func playBatch(w *world) int {
	ids := w.long()
	size := 6000
	if w.trouble {
		size = 250_000
	}
	body := largeJob(size)
	w.store.setSlow(240 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Go(func() { w.submit(newID(), body, i) })
	}
	time.Sleep(4 * time.Second)
	w.store.setSlow(0)
	wg.Wait()
	return w.finish(ids)
}

// long submits jobs that run for longer than the case.
func (w *world) long() []string {
	var ids []string
	for i := range 3 {
		if id := newID(); w.submit(id, simpleJob(2, 1000, 90000), i) {
			ids = append(ids, id)
		}
	}
	return ids
}

// finish submits ordinary jobs and asks for all that were accepted, 14 s after the end of
// the traffic.
func (w *world) finish(ids []string) int {
	for i := range 3 {
		if id := newID(); w.submit(id, simpleJob(2, 1000, 1000), i) {
			ids = append(ids, id)
		}
	}
	time.Sleep(14 * time.Second)
	return w.verdict(w.askAll(ids))
}

// playRecord submits one job of the largest legal size.
func playRecord(w *world) int {
	ids := w.long()
	time.Sleep(time.Second)
	body := `{"spec":"work=200 cpu=100","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":200,"image":"x"}]}`
	if w.trouble {
		body = strings.Replace(body, `"x"`, `"`+strings.Repeat("x", 262144-len(body)+1)+`"`, 1)
	}
	w.submit(newID(), body, 0)
	return w.finish(ids)
}

// playTasks submits jobs with many tasks.
func playTasks(w *world) int {
	ids := w.long()
	count := 20
	if w.trouble {
		count = 20000
	}
	step := fmt.Sprintf(`{"count":%d,"cpu":1000,"memMb":64,"gpu":1,"estimateMs":1000}`, count)
	body := `{"spec":"work=1000 cpu=1000","steps":[` + strings.Repeat(step+",", 4) + step + `]}`
	for i := range 4 {
		w.submit(newID(), body, i)
		time.Sleep(time.Second)
	}
	time.Sleep(30 * time.Second)
	for _, id := range ids {
		w.rec.note("client", "job %s: %q", id, w.ask(id))
	}
	return w.verdict(w.ends())
}

// ends returns a breach of "Fault" if processes of two machines or more have ended three
// times or more.
func (w *world) ends() []string {
	var often []string
	for _, p := range w.procs {
		p.mu.Lock()
		if p.exits >= 3 {
			often = append(often, fmt.Sprintf("%s has ended %d times", p.name, p.exits))
		}
		p.mu.Unlock()
	}
	if len(often) < 2 {
		return nil
	}
	return often
}

// playReport sends each agent one status report that comes from another writer and has
// fields missing.
func playReport(w *world) int {
	ids := w.long()
	time.Sleep(2 * time.Second)
	if w.trouble {
		for i, r := range w.runners {
			w.otherReport(i, r)
		}
	}
	time.Sleep(4 * time.Second)
	for i := range 3 {
		if id := newID(); w.submit(id, simpleJob(2, 1000, 1000), i) {
			ids = append(ids, id)
		}
	}
	time.Sleep(14 * time.Second)
	before := w.idle(ids)
	time.Sleep(3 * time.Second)
	var broken []string
	after := w.idle(ids)
	for _, id := range ids {
		if before[id] && after[id] {
			broken = append(broken, fmt.Sprintf("accepted job %s, %q: nothing of it runs, though the capacity is free", id, w.ask(id)))
		}
	}
	return w.verdict(broken)
}

func (w *world) otherReport(i int, r *runner) {
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"clockMs": 5000, "seq": 4, "born": time.Now().UnixMilli(),
	})
	id := fmt.Sprintf("i-0000000%d", i)
	status := 0
	resp, err := http.Post("http://"+r.control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	w.rec.note("writer", "status report of %s to %s, without zone, capacity and labels: %d %s", id, r.control, status, body)
}

// idle returns the jobs that have not ended and of which nothing runs, while less than
// half of the capacity is in use.
func (w *world) idle(ids []string) map[string]bool {
	used := 0
	running := map[string]bool{}
	for _, r := range w.runners {
		r.mu.Lock()
		for name, t := range r.running {
			used += t.cpu
			running[name[:strings.IndexByte(name, '.')]] = true
		}
		r.mu.Unlock()
	}
	w.rec.note("case", "%d of %d millicores are in use", used, runnerCPU*len(w.runners))
	idle := map[string]bool{}
	for _, id := range ids {
		if state := w.ask(id); used < runnerCPU*len(w.runners)/2 && !running[id] && (state == "pending" || state == "running") {
			idle[id] = true
		}
	}
	return idle
}
