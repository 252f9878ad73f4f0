package main

import (
	"fmt"
	"time"
)

// reservedRoom: each of three runners works on a task of one accelerator that lasts. A gang
// that needs all accelerators waits. Small jobs come, each of which needs one of the 21
// accelerators that are free.
func reservedRoom(f *fleet, trouble bool) (int, string) {
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
	c, other := newClient(f.rec, _key), newClient(f.rec, _otherKey)
	lasting := `{"spec":"lasting gpu=1 cpu=500","steps":[{"count":3,"cpu":500,"memMb":256,"gpu":1,"estimateMs":1000,"antiAffinity":1,"persistent":true}]}`
	if status, _ := c.call("POST", f.front(0), _urgent+"a000000000000001", []byte(lasting)); status != 200 {
		return _cannotRun, "the lasting job is not accepted"
	}
	time.Sleep(time.Second)
	if trouble {
		gang := `{"spec":"ms=8000 gpu=8 cpu=500","steps":[{"count":3,"cpu":500,"memMb":256,"gpu":8,"estimateMs":8000,"gang":true}]}`
		if status, _ := c.call("POST", f.front(1), _routine+"a000000000000002", []byte(gang)); status != 200 {
			return _cannotRun, "the gang is not accepted"
		}
	}
	time.Sleep(2 * time.Second)
	accepted := map[string]bool{}
	for n, until := 0, time.Now().Add(6*time.Second); time.Now().Before(until); n++ {
		id := fmt.Sprintf("b%015x", n)
		if status, _ := other.call("POST", f.front(n%3), _batch+id, []byte(`{"spec":"ms=500 gpu=1 cpu=500","steps":[{"count":1,"cpu":500,"memMb":256,"gpu":1,"estimateMs":500}]}`)); status == 200 {
			accepted[id] = true
		}
		time.Sleep(time.Second)
	}
	lost := f.lostAfterTraffic(accepted)
	ran := 0
	for id := range accepted {
		if f.rec.runningOrDone(id + ".0.0.0") {
			ran++
		}
	}
	why := fmt.Sprintf("%d small jobs accepted, %d of them with nothing running for %v, %v after the traffic; %d have run until then", len(accepted), lost, _nothingRuns, _finish, ran)
	if lost > 0 {
		return _broken, why
	}
	return _held, why
}
