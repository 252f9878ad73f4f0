package main

import (
	"errors"
	"fmt"
	"time"
)

func errCase(text string) error { return errors.New(text) }

const _routeX = `{"name":"qx","host":"h.example","pathPrefix":"/batch/","service":"s1","priority":1,"maxAttempts":3,"stretch":3,"targetLatencyMs":1000,"timeoutMs":3000},`

const _routeConfig = `{"version":%d,"routes":[%s
{"name":"q2","host":"h.example","pathPrefix":"/jobs/","service":"s1","priority":2,"maxAttempts":3,"stretch":3,"targetLatencyMs":3000,"timeoutMs":3000}],
"services":[{"name":"s1","admissionCheck":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144},
"tenants":[{"name":"a","apiKeys":["key-a"],"guaranteed":{"gpu":16}}]}`

// playRoute removes the route of an accepted job while its first step is at work.
func playRoute(c *cluster, trouble bool) (bool, error) {
	const id = "00000000000000c1"
	const watch = 20 * time.Second
	c.rec.know(id, 0, taskSpec{gpu: 4, work: 4 * time.Second})
	c.rec.know(id, 1, taskSpec{gpu: 4, work: 2 * time.Second})
	if !c.submit("tenant a", "key-a", "/batch/"+id,
		`{"spec":"two steps","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":4,"estimateMs":4000},{"count":2,"cpu":1000,"memMb":100,"gpu":4,"estimateMs":2000,"after":[0]}]}`) {
		return false, errCase("the job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(c.rec.runsOf(id+".0.0.")) > 0 }) {
		return false, errCase("the first step was not started")
	}
	if trouble {
		c.store.put("keyed.op", "config", fmt.Sprintf(_routeConfig, 2, ""))
		c.rec.line("operator: desired state 2 is confirmed; it has no route /batch/")
	}
	if !await(10*time.Second, func() bool { r := c.rec.runsOf(id + ".0.0."); return len(r) > 0 && r[0].how == "done" }) {
		return false, errCase("the first step was not done")
	}
	due := time.Now()
	if await(watch, func() bool { return len(c.rec.runsOf(id+".0.1.")) == 2 }) {
		c.rec.line("the second step began %v after the first was done", time.Since(due).Round(time.Millisecond))
		return true, nil
	}
	c.rec.line("LOST: %s has had nothing running for %v, though its second step's turn has come and all 24 accelerators are free", id, watch)
	c.send(0, "tenant a", "key-a", "GET", "/batch/"+id, "")
	return false, nil
}
