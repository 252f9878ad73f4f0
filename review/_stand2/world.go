// Command review-2 plays the cases of the second review: it starts the programs of the
// deploy file as processes on loopback addresses, with stand-ins of the platform, the
// backend servers and the clients, and checks one rule from what these see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// checker keeps what the backend servers saw of each task.
type checker struct {
	rec    *recorder
	mu     sync.Mutex
	starts map[string][]startEvent
	// done are the ends "done", noted those that were acknowledged by seenUpto with no
	// lapse of the lease between the two.
	done  map[string][]*doneEvent
	ends  map[string]*doneEvent
	total map[string]int
}

type startEvent struct {
	on, zone string
	run      int
	at       time.Time
}

type doneEvent struct {
	on            string
	run           int
	at, notedAt   time.Time
	noted, lapsed bool
}

func newChecker(rec *recorder) *checker {
	return &checker{rec: rec, starts: map[string][]startEvent{}, done: map[string][]*doneEvent{}, ends: map[string]*doneEvent{}, total: map[string]int{}}
}

func (c *checker) started(on, zone, task string, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[task] = append(c.starts[task], startEvent{on, zone, run, time.Now()})
	c.total["started"]++
	c.rec.note(on, "starts %s run %d", task, run)
}

func (c *checker) ended(on string, n int64, task string, run int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total["ended "+how]++
	c.rec.note(on, "end %d: %s run %d %s", n, task, run, how)
	e := &doneEvent{on: on, run: run, at: time.Now()}
	c.ends[fmt.Sprint(on, "/", n)] = e
	if how == "done" {
		c.done[task] = append(c.done[task], e)
	}
}

func (c *checker) lapse(on string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ends {
		if e.on == on && !e.noted {
			e.lapsed = true
		}
	}
}

func (c *checker) noted(on string, e end) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.ends[fmt.Sprint(on, "/", e.n)]
	d.noted, d.notedAt = true, time.Now()
	c.rec.note(on, "seenUpto reaches end %d", e.n)
	c.total["noted"]++
}

// twice returns the breaches of TWICE by a start after a run has ended done whose end was
// taken note of.
func (c *checker) twice() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for name, list := range c.done {
		for _, d := range list {
			for _, s := range c.starts[name] {
				if d.noted && !d.lapsed && s.at.After(d.at) {
					found = append(found, fmt.Sprintf("task %s run %d ended done on %s, noted %.3f s later; run %d started on %s %.3f s after the end",
						name, d.run, d.on, d.notedAt.Sub(d.at).Seconds(), s.run, s.on, s.at.Sub(d.at).Seconds()))
				}
			}
		}
	}
	return found
}

func (c *checker) counts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, _ := json.Marshal(c.total)
	return string(data)
}

// process is an entry or an agent.
type process struct {
	name, role string
	path, log  string
	memoryMb   int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// peakMb is the largest resident memory, exits the number of ends by itself or by
	// the platform, because of its memory. It is not started again once closed.
	peakMb, exits int
	closed        bool
}

type world struct {
	root, dir string
	rec       *recorder
	check     *checker
	store     *store
	subnet    string
	procs     []*process
	runners   []*runner
	fronts    []string
	trouble   bool
}

const (
	frontPort, readyPort, controlPort, runnerPort, storePort = 8521, 8523, 8526, 8529, 8524

	host    = "nony24.example"
	prefix  = "/lohu930/"
	key     = "d4a3hwrr6x73d3zji9n7"
	service = "huvo11a"

	entryMemoryMb, agentMemoryMb = 284, 152
)

var zones = []string{"ware-east", "belch-north", "petersham"}

func desiredState(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-ce7ejsm","host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":%q,"maxAttempts":3,"stretch":3.0,"public":false}],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"admissionCheck":true,"spare":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"kaje80","apiKeys":[%q],"priority":1,"guaranteed":{"gpu":4}}]}`,
		version, host, prefix, service, service, key)
}

// newWorld starts one entry in each zone and agents with their backend servers in turn.
func newWorld(dir, root string, agents int) (*world, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	rec := &recorder{f: f, began: time.Now()}
	w := &world{root: root, dir: tmp, rec: rec, check: newChecker(rec), store: newStore(rec), trouble: os.Getenv("TROUBLE") != "0"}
	rec.note("case", "trouble: %v", w.trouble)
	w.store.put("keyed.op", "config", desiredState(7))
	var lis net.Listener
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.Intn(200), 1+rand.Intn(250))
		if lis, err = net.Listen("tcp", fmt.Sprintf("%s250:%d", w.subnet, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: w.store}).Serve(lis) }()
	for i, zone := range zones {
		ip := w.subnet + strconv.Itoa(10+i)
		w.fronts = append(w.fronts, fmt.Sprintf("%s:%d", ip, frontPort))
		extra := fmt.Sprintf("class=frontend\nserves=frontend,control_plane\nlisten.front=%s:%d\nlisten.ready=%s:%d\nlimits.cpuShare=0.4\nlimits.memoryMb=%d\nlimits.maxFds=4100\n", ip, frontPort, ip, readyPort, entryMemoryMb)
		if err := w.start("frontend-"+zone+"-1", "entry", ip, zone, extra, entryMemoryMb); err != nil {
			return w, err
		}
	}
	for i := range agents {
		ip := w.subnet + strconv.Itoa(50+i)
		zone := zones[i%len(zones)]
		extra := fmt.Sprintf("class=side\nserves=side\napp=%s:%d\nservice=%s\nlimits.cpuShare=0.24\nlimits.memoryMb=%d\nlimits.maxFds=4096\n", ip, runnerPort, service, agentMemoryMb)
		if err := w.start(fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones)), "agent", ip, zone, extra, agentMemoryMb); err != nil {
			return w, err
		}
		r, err := startRunner(fmt.Sprintf("i-%08x", rand.Uint32()), fmt.Sprintf("%s:%d", ip, runnerPort), fmt.Sprintf("%s:%d", ip, controlPort), zone, service, fmt.Sprintf("r1-%d", i%len(zones)), rec, w.check)
		if err != nil {
			return w, err
		}
		w.runners = append(w.runners, r)
	}
	return w, nil
}

func (w *world) start(name, role, ip, zone, extra string, memoryMb int) error {
	seeds := []string{}
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", w.subnet, 10+i, controlPort))
	}
	text := fmt.Sprintf("node=%s\nrole=%s\nip=%s\nzone=%s\nregion=quabbin\nzones.ware-east=quabbin\nzones.belch-north=quabbin\nzones.petersham=quabbin\nlisten.control=%s:%d\nportRange=7000,7015\nseeds=%s\n", name, role, ip, zone, ip, controlPort, strings.Join(seeds, ",")) +
		"bootstrap=true\ninTolerance=false\nlimits.cores=1\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=local\nentry=vip\nheartbeatMs=1500\n" +
		"contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing\ntolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n" +
		"bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.configApplyMs=2000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.evacuateMs=5000\nbounds.recoverS=12\n" +
		"bounds.maxHoldMs=6000\nbounds.stopTimeoutMs=400\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.spreadFactor=3\nbounds.checkpointS=2\nbounds.restoreMs=250\nbounds.reclaimMs=2900\n" +
		fmt.Sprintf("orders=request\nplatform.address=%s250:%d\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\nplatform.appendMs=2.0\nplatform.recordBytes=%d\nplatform.callBytes=%d\nplatform.keep_s=300\nplatform.partMb=200\nplatform.minTtlMs=1000\n", w.subnet, storePort, recordBytes, callBytes) + extra
	path := filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p := &process{name: name, role: role, path: path, log: filepath.Join(w.dir, name+".log"), memoryMb: memoryMb}
	w.procs = append(w.procs, p)
	w.rec.note("case", "%s is at %s", name, ip)
	return w.launch(p)
}

// launch starts a process of the deploy file and starts it again when it has ended, as
// the platform does.
func (w *world) launch(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(w.root, "target/berylsite"), p.role)
	cmd.Dir = w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLGLADE_CONFIG=" + p.path}
	cmd.Stdout, cmd.Stderr = out, out
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return out.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	go w.watchMemory(p, cmd, p.ended)
	go w.wait(p, cmd, p.ended, out)
	return nil
}

func (w *world) wait(p *process, cmd *exec.Cmd, ended chan struct{}, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	close(ended)
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.exits++
		w.rec.note("platform", "%s has ended: %v; end %d", p.name, err, p.exits)
	}
	p.mu.Unlock()
	if !closed {
		time.Sleep(500 * time.Millisecond)
		if err := w.launch(p); err != nil {
			w.rec.note("platform", "%s can't be started again: %v", p.name, err)
		}
	}
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform
// does.
func (w *world) watchMemory(p *process, cmd *exec.Cmd, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
		mb := residentMb(cmd.Process.Pid)
		p.mu.Lock()
		p.peakMb = max(p.peakMb, mb)
		p.mu.Unlock()
		if mb > p.memoryMb {
			w.rec.note("platform", "%s uses %d MB of %d MB and is killed", p.name, mb, p.memoryMb)
			_ = cmd.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, p := range w.procs {
		p.mu.Lock()
		p.closed = true
		w.rec.note("case", "%s: %d ends, peak memory %d MB of %d MB", p.name, p.exits, p.peakMb, p.memoryMb)
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		p.mu.Unlock()
	}
	for _, p := range w.procs {
		if p.ended != nil {
			<-p.ended
		}
	}
	for _, r := range w.runners {
		r.close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(w.dir, keep)
	}
	_ = os.RemoveAll(w.dir)
}

// ready waits until all entries are ready and a probing job is done.
func (w *world) ready() error {
	until := time.Now().Add(15 * time.Second)
	for _, f := range w.fronts {
		for {
			resp, err := http.Get("http://" + strings.Replace(f, strconv.Itoa(frontPort), strconv.Itoa(readyPort), 1) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", f)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	id := newID()
	if !w.submit(id, simpleJob(1, 100, 300), 0) {
		return fmt.Errorf("the first job is not accepted")
	}
	for time.Now().Before(until) {
		if w.ask(id) == "completed" {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the first job is not completed")
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func simpleJob(count, cpu, workMs int) string {
	return fmt.Sprintf(`{"spec":"work=%d cpu=%d","steps":[{"count":%d,"cpu":%d,"memMb":64,"estimateMs":%d}]}`, workMs, cpu, count, cpu, workMs)
}

// call sends one request and returns its status; zero without an answer.
func (w *world) call(front, method, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+front+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Berylglade-Timeout-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in: at most five attempts at entries in turn, as the pages say that
// clients retry. It reports whether a 2xx came.
func (w *world) submit(id, body string, first int) bool {
	for attempt := range 5 {
		front := w.fronts[(first+attempt)%len(w.fronts)]
		status, text := w.call(front, http.MethodPost, id, body)
		w.rec.note("client", "POST %s (%d bytes) to %s: %d %.120s", id, len(body), front, status, text)
		switch {
		case status >= 200 && status < 300:
			return true
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// ask asks for a job's state at one entry after the other; empty without an answer.
func (w *world) ask(id string) string {
	first := rand.Intn(len(w.fronts))
	for i := range w.fronts {
		front := w.fronts[(first+i)%len(w.fronts)]
		status, text := w.call(front, http.MethodGet, id, "")
		if status == http.StatusOK {
			var v struct{ State string }
			_ = json.Unmarshal([]byte(text), &v)
			return v.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		w.rec.note("client", "GET %s at %s: %d %.120s", id, front, status, text)
	}
	return ""
}

func (w *world) verdict(broken []string) int {
	for i, b := range broken {
		if i == 20 {
			w.rec.note("case", "and %d more", len(broken)-i)
			break
		}
		w.rec.note("broken", "%s", b)
	}
	w.rec.note("case", "tasks: %s", w.check.counts())
	if len(broken) > 0 {
		w.rec.note("case", "the rule was broken %d times", len(broken))
		return 1
	}
	w.rec.note("case", "the rule held")
	return 0
}

// maxTime is less than the time that a case may take.
const maxTime = 112 * time.Second

// run plays a case and ends its processes.
func run(play func(w *world) int, dir, root string) int {
	w, err := newWorld(dir, root, 3)
	if w == nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return 2
	}
	defer w.close()
	if err == nil {
		err = w.ready()
	}
	if err != nil {
		w.rec.note("case", "can't run: %v", err)
		return 2
	}
	w.rec.note("case", "ready")
	result := make(chan int, 1)
	go func() { result <- play(w) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case n := <-result:
		return n
	case <-stop:
		w.rec.note("case", "stopped by a signal")
	case <-time.After(maxTime):
		w.rec.note("case", "not over in time")
	}
	return 2
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER ROOT")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "review-2: no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}
