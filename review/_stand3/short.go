package main

import (
	"fmt"
	"time"
)

// The bounds of the rule LOST, and the traffic of the case.
const (
	_finish      = 14 * time.Second
	_nothingRuns = 3 * time.Second
	_trafficTime = 18 * time.Second
	_watchTime   = 8 * time.Second
	_capacityCPU = 64000
)

// shortTasks: one client hands in a job of many short tasks that take little, another one
// urgent jobs of one accelerator each. After the traffic, no accepted job may have nothing
// running for three seconds while there is capacity for it.
func shortTasks(f *fleet, trouble bool) (int, string) {
	for range 3 {
		if err := f.addEntry(f.storeAt); err != nil {
			return _cannotRun, err.Error()
		}
	}
	for range 3 {
		if err := f.addAgent(); err != nil {
			return _cannotRun, err.Error()
		}
	}
	if !f.awaitReady(20 * time.Second) {
		return _cannotRun, "entries are not ready"
	}
	time.Sleep(2 * time.Second)
	count := 20000
	if !trouble {
		count = 20
	}
	step := fmt.Sprintf(`{"count":%d,"cpu":10,"memMb":16,"estimateMs":100}`, count)
	large := fmt.Sprintf(`{"spec":"ms=100 cpu=10","steps":[%s,%s,%s]}`, step, step, step)
	if status, _ := newClient(f.rec, _key).call("POST", f.front(0), _batch+"a000000000000001", []byte(large)); status != 200 {
		return _cannotRun, "the large job is not accepted"
	}
	ordinary := newClient(f.rec, _otherKey)
	accepted := map[string]bool{}
	for n, until := 0, time.Now().Add(_trafficTime); time.Now().Before(until); n++ {
		id := fmt.Sprintf("b%015x", n)
		if status, _ := ordinary.call("POST", f.front(n%3), _urgent+id, []byte(`{"spec":"ms=200 gpu=1 cpu=500","steps":[{"count":1,"cpu":500,"memMb":256,"gpu":1,"estimateMs":200}]}`)); status == 200 {
			accepted[id] = true
		}
		time.Sleep(time.Second)
	}
	lost := f.lostAfterTraffic(accepted)
	why := fmt.Sprintf("%d urgent jobs accepted, %d of them with nothing running for %v, %v after the traffic; %s", len(accepted), lost, _nothingRuns, _finish, memoryOf(f.agents))
	if lost > 0 {
		return _broken, why
	}
	return _held, why
}

// lostAfterTraffic returns how many of the accepted jobs, of one task each, break the rule
// LOST after the end of the traffic.
func (f *fleet) lostAfterTraffic(accepted map[string]bool) int {
	f.rec.add("end of the traffic")
	time.Sleep(_finish)
	f.rec.add("jobs are asked for")
	idle := map[string]time.Time{}
	lost := map[string]bool{}
	for until := time.Now().Add(_watchTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		now, room := time.Now(), f.roomTwice()
		for id := range accepted {
			if !room || f.rec.runningOrDone(id+".0.0.0") {
				delete(idle, id)
				continue
			}
			if idle[id].IsZero() {
				idle[id] = now
			}
			if now.Sub(idle[id]) >= _nothingRuns && !lost[id] {
				lost[id] = true
				f.rec.add("job %s has nothing running for %v", id, _nothingRuns)
			}
		}
	}
	return len(lost)
}

// roomTwice reports whether under half of the capacity is in use, and a runner has room for
// two accelerators.
func (f *fleet) roomTwice() bool {
	cpu, gpu, room := 0, 0, false
	for _, r := range f.runners {
		r.mu.Lock()
		used := 0
		for _, t := range r.runs {
			used += t.need
			cpu += t.cpu
		}
		r.mu.Unlock()
		gpu += used
		room = room || used+2 <= _runnerGPU
	}
	n := len(f.runners)
	return room && 2*cpu < n*_capacityCPU && 2*gpu < n*_runnerGPU
}
