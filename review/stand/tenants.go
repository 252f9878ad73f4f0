package main

import "time"

const _tenantsConfig = `{"version":1,"routes":[
{"name":"open","host":"h.example","pathPrefix":"/open/","service":"s1","priority":2,"maxAttempts":3,"stretch":3,"targetLatencyMs":3000,"timeoutMs":3000,"public":true},
{"name":"q2","host":"h.example","pathPrefix":"/jobs/","service":"s1","priority":1,"maxAttempts":3,"stretch":3,"targetLatencyMs":3000,"timeoutMs":3000}],
"services":[{"name":"s1","admissionCheck":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144},
"tenants":[{"name":"a","apiKeys":["key-a"],"guaranteed":{"gpu":16}},{"name":"b","apiKeys":["key-b"],"guaranteed":{"gpu":8}}]}`

const (
	_jobA = `{"spec":"spec of a","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":4,"estimateMs":20000}]}`
	_jobB = `{"spec":"spec of b","steps":[{"count":2,"cpu":1000,"memMb":100,"gpu":4,"estimateMs":3000}]}`
)

// playSameID has two tenants choose the same id for their jobs, with trouble, and then
// loses all entries.
func playSameID(c *cluster, trouble bool) (bool, error) {
	const idA = "00000000000000d1"
	idB := "00000000000000d2"
	if trouble {
		idB = idA
	}
	c.rec.know(idA, 0, taskSpec{gpu: 4, work: 20 * time.Second})
	if !trouble {
		c.rec.know(idB, 0, taskSpec{gpu: 4, work: 3 * time.Second})
	}
	if !c.submit("tenant a", "key-a", "/jobs/"+idA, _jobA) {
		return false, errCase("a's job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(c.rec.runsOf(idA)) > 0 }) {
		return false, errCase("a's job was not started")
	}
	accepted := c.submit("tenant b", "key-b", "/jobs/"+idB, _jobB)
	observeFor(c, 4*time.Second)
	held := true
	check := func(who, key, id string) {
		for entry := range c.fronts {
			r := c.send(entry, who, key, "GET", "/jobs/"+id, "")
			if r.status == 410 {
				c.rec.line("LOST: the accepted job %s of %s is answered 410", id, who)
				held = false
			}
		}
	}
	check("tenant a", "key-a", idA)
	if accepted {
		check("tenant b", "key-b", idB)
	}
	for _, p := range c.entries {
		p.end()
		c.rec.line("process of %s killed", p.name)
	}
	for _, p := range c.entries {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	if err := c.ready(20 * time.Second); err != nil {
		return false, err
	}
	observeFor(c, 5*time.Second)
	check("tenant a", "key-a", idA)
	for _, o := range c.rec.runsOf(idA) {
		if o.spec != "spec of a" {
			c.rec.line("UNASKED: %s run %d was started with %q", o.task, o.run, o.spec)
			held = false
		}
	}
	return held, nil
}

// playPublic has a caller without a key name a tenant's job on a public route.
func playPublic(c *cluster, trouble bool) (bool, error) {
	const id = "00000000000000e1"
	c.rec.know(id, 0, taskSpec{gpu: 4, work: 20 * time.Second})
	if !c.submit("tenant a", "key-a", "/jobs/"+id, _jobA) {
		return false, errCase("a's job was not accepted")
	}
	if !await(10*time.Second, func() bool { return len(c.rec.runsOf(id)) > 0 }) {
		return false, errCase("a's job was not started")
	}
	observeFor(c, 3*time.Second)
	if trouble {
		c.send(1, "caller without key", "", "GET", "/open/"+id, "")
		c.send(1, "caller without key", "", "DELETE", "/open/"+id, "")
	}
	observeFor(c, 3*time.Second)
	r := c.send(0, "tenant a", "key-a", "GET", "/jobs/"+id, "")
	if r.body == `{"state":"cancelled"}` {
		c.rec.line("LOST: %s of tenant a is shown as cancelled, and nobody with its key has cancelled it", id)
		return false, nil
	}
	return true, nil
}
