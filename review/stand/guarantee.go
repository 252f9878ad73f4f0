package main

import "time"

// Tenant a is guaranteed 16 of 24 accelerators, tenant b 8.
const _guaranteeConfig = `{"version":1,"routes":[
{"name":"q0","host":"h.example","pathPrefix":"/urgent/","service":"s1","priority":0,"maxAttempts":3,"stretch":1.5,"targetLatencyMs":250,"timeoutMs":3000},
{"name":"q2","host":"h.example","pathPrefix":"/jobs/","service":"s1","priority":2,"maxAttempts":3,"stretch":3,"targetLatencyMs":3000,"timeoutMs":3000}],
"services":[{"name":"s1","admissionCheck":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144},
"tenants":[{"name":"a","apiKeys":["key-a"],"guaranteed":{"gpu":16}},{"name":"b","apiKeys":["key-b"],"guaranteed":{"gpu":8}}]}`

// playGuarantee has tenant b use what is idle, and tenant a ask for a part of its
// guarantee then. With trouble, b's tasks last; otherwise they are long tasks that end.
func playGuarantee(c *cluster, trouble bool) (bool, error) {
	const idle, urgent = "00000000000000b1", "00000000000000a1"
	const reclaim, watch = 2900 * time.Millisecond, 20 * time.Second
	body := `{"spec":"idle","steps":[{"count":3,"cpu":1000,"memMb":100,"gpu":8,"estimateMs":90000}]}`
	spec := taskSpec{gpu: 8, work: 90 * time.Second}
	if trouble {
		body = `{"spec":"idle","steps":[{"count":3,"cpu":1000,"memMb":100,"gpu":8,"persistent":true}]}`
		spec.work = 0
	}
	c.rec.know(idle, 0, spec)
	c.rec.know(urgent, 0, taskSpec{gpu: 8, work: 2 * time.Second})
	if !c.submit("tenant b", "key-b", "/jobs/"+idle, body) {
		return false, errCase("b's job was not accepted")
	}
	if !await(15*time.Second, func() bool { return len(c.rec.runsOf(idle)) == 3 }) {
		return false, errCase("b's tasks were not started")
	}
	observeFor(c, 5*time.Second)
	if !c.submit("tenant a", "key-a", "/urgent/"+urgent,
		`{"spec":"urgent","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":8,"estimateMs":2000}]}`) {
		return false, errCase("a's job was not accepted")
	}
	confirmed := time.Now()
	begun := func() bool { return len(c.rec.runsOf(urgent)) > 0 }
	if !await(watch, begun) {
		c.rec.line("RECLAIM: %s of tenant a (priority 0, 8 of 16 guaranteed accelerators) has not begun %v after its confirmation", urgent, watch)
		c.send(0, "tenant a", "key-a", "GET", "/urgent/"+urgent, "")
		return false, nil
	}
	took := c.rec.runsOf(urgent)[0].began.Sub(confirmed)
	c.rec.line("%s began %v after its confirmation; reclaimMs is %v", urgent, took.Round(time.Millisecond), reclaim)
	return took <= reclaim, nil
}
