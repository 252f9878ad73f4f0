package main

import (
	"sync"
	"time"
)

// playReborn has the runner that gets a job's task leave the first start without an answer
// and carry it out 4 s later. Meanwhile the runner has crashed and started again.
func playReborn(c *cluster, trouble bool) (bool, error) {
	const id = "00000000000000ab"
	const late, upFor, down, firstBeat = 4 * time.Second, time.Second, 2500 * time.Millisecond, time.Second
	c.rec.know(id, 0, taskSpec{gpu: 8, work: 8 * time.Second})
	crashed := make(chan error, 1)
	if trouble {
		var once sync.Once
		for _, r := range c.runners {
			r.mu.Lock()
			r.lateStart = late
			r.onLate = func() {
				once.Do(func() {
					for _, other := range c.runners {
						if other != r {
							go other.answerAll()
						}
					}
					time.AfterFunc(upFor, func() { crashed <- r.crash(down, firstBeat) })
				})
			}
			r.mu.Unlock()
		}
	}
	if !c.submit("tenant a", "key-a", "/jobs/"+id,
		`{"spec":"once","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":8,"estimateMs":8000}]}`) {
		return false, errCase("the job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(c.rec.runsOf(id)) > 0 }) {
		return false, errCase("the job was not started")
	}
	if trouble {
		if err := <-crashed; err != nil {
			return false, err
		}
	}
	observeFor(c, 14*time.Second)
	return heldOnce(c, id), nil
}

// answerAll ends the wish to leave a start without an answer.
func (r *runner) answerAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateStart = 0
}

// heldOnce reports whether no two runs of a task of the job overlapped.
func heldOnce(c *cluster, id string) bool {
	held := true
	runs := c.rec.runsOf(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			end := a.ended
			if end.IsZero() {
				end = time.Now()
			}
			if a.task == b.task && b.began.Before(end) {
				c.rec.line("TWICE: %s run %d on %s began while run %d was at work on %s", b.task, b.run, b.on, a.run, a.on)
				held = false
			}
		}
	}
	return held
}
