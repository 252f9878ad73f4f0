package main

import (
	"fmt"
	"time"
)

// playWaiting has three jobs wait for the one runner of kind b, which refuses all starts
// for some seconds with trouble, and asks each entry how many jobs wait.
func playWaiting(c *cluster, trouble bool) (bool, error) {
	const jobs, sickFor = 3, 6500 * time.Millisecond
	const due = 3*time.Second + 2*time.Second // visible_ms + 2 s
	sick := c.runners[len(c.runners)-1]
	if trouble {
		sick.setSick(true)
		time.AfterFunc(sickFor, func() { sick.setSick(false) })
	}
	for n := range jobs {
		id := fmt.Sprintf("00000000000000f%d", n)
		c.rec.know(id, 0, taskSpec{gpu: 2, work: 2 * time.Second})
		if !c.submit("tenant a", "key-a", "/jobs/"+id,
			`{"spec":"b only","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":2,"estimateMs":2000,"requires":"b"}]}`) {
			return false, errCase("a job was not accepted")
		}
	}
	time.Sleep(due + 300*time.Millisecond)
	held := true
	for entry := range c.fronts {
		begun := 0
		for n := range jobs {
			if len(c.rec.runsOf(fmt.Sprintf("00000000000000f%d", n))) > 0 {
				begun++
			}
		}
		r := c.send(entry, "tenant a", "key-a", "GET", "/jobs/", "")
		var waiting int
		if _, err := fmt.Sscanf(r.body, `{"waiting":%d}`, &waiting); err != nil {
			return false, errCase("no count was given")
		}
		if 2*waiting < jobs-begun {
			c.rec.line("MIXED: %d accepted jobs have not begun for over %v, and entry %d gives %d as waiting", jobs-begun, due, entry+1, waiting)
			held = false
		}
	}
	c.send(0, "tenant a", "key-a", "GET", "/jobs/00000000000000f0", "")
	return held, nil
}
