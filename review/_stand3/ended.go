package main

import (
	"bytes"
	"fmt"
	"time"
)

// endedJobs: a client hands in jobs of the largest legal size and cancels each of them. The
// platform kills a process whose memory exceeds that of its machine, and restarts it.
func endedJobs(f *fleet, trouble bool) (int, string) {
	for range 3 {
		if err := f.addEntry(f.storeAt); err != nil {
			return _cannotRun, err.Error()
		}
	}
	if err := f.addAgent(); err != nil {
		return _cannotRun, err.Error()
	}
	if !f.awaitReady(20 * time.Second) {
		return _cannotRun, "entries are not ready"
	}
	time.Sleep(2 * time.Second)
	ordinary := newClient(f.rec, _otherKey)
	const mine = "5c0e7a21d94b36f8"
	if status, _ := ordinary.call("POST", f.front(0), _routine+mine, []byte(`{"spec":"ms=300 gpu=1","steps":[{"count":1,"cpu":500,"memMb":256,"gpu":1,"estimateMs":300}]}`)); status != 200 {
		return _cannotRun, "the ordinary job is not accepted"
	}
	crowd := newClient(f.rec, _key)
	body := largeJob(trouble, time.Now().Add(time.Hour))
	accepted := 0
	for n := 0; accepted < _largeJobs && time.Since(f.rec.began) < 40*time.Second; n++ {
		path := fmt.Sprintf("%s%016x", _batch, 0xa000000000000000+uint64(accepted))
		at := f.front(n % 3)
		if status, _ := crowd.call("POST", at, path, body); status != 200 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		accepted++
		for try := range 20 {
			if status, _ := crowd.call("DELETE", f.front((n+try)%3), path, nil); status == 200 || status == 410 {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	f.rec.add("%d jobs of %d bytes accepted and cancelled", accepted, len(body))
	// The client is gone. An ordinary one asks each entry for the state of its job.
	answered, asked := 0, 0
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for i := range f.entries {
			asked++
			if status, _ := ordinary.call("GET", f.front(i), _routine+mine, nil); status == 200 {
				answered++
			}
		}
	}
	over, text := f.endedThrice(f.entries), memoryOf(f.entries)
	why := fmt.Sprintf("%d jobs; %s; ordinary client answered %d of %d times in the 20 s after", accepted, text, answered, asked)
	if over >= 2 {
		return _broken, why
	}
	return _held, why
}

// _largeJobs is how many jobs the client hands in and cancels, one after the other.
const _largeJobs = 100

// largeJob returns a job of the largest body that the desired state allows, which is due
// once, at the given time; without the disruption, an ordinary one.
func largeJob(large bool, due time.Time) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"spec":"ms=300 gpu=1","times":1,"initialDelayMs":%d,"steps":[{"count":1,"cpu":500,"memMb":256,"gpu":1,"estimateMs":300}`, due.UnixMilli())
	for large && b.Len() < 262144-16 {
		b.WriteString(`,{"count":1}`)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}
