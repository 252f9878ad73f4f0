package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt and keeps what runners have started.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	from  time.Time
	specs map[string]taskSpec
	runs  []*observed
}

// observed is one run that a runner has started.
type observed struct {
	task, on, spec, how string
	run                 int
	began, ended        time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.from).Seconds(), fmt.Sprintf(format, args...))
}

// know registers what the tasks of a job's step are, which a runner has from the image.
func (r *recorder) know(job string, step int, spec taskSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.specs[fmt.Sprintf("%s.%d", job, step)] = spec
}

func (r *recorder) specOf(task string) taskSpec {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := strings.Split(task, ".")
	return r.specs[p[0]+"."+p[2]]
}

func (r *recorder) began(task string, run int, on, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &observed{task: task, run: run, on: on, spec: spec, began: time.Now()})
	r.write("runner %s: started %s run %d, spec %q", on, task, run, spec)
}

func (r *recorder) ended(task string, run int, on, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.runs {
		if o.task == task && o.run == run && o.on == on && o.ended.IsZero() {
			o.ended, o.how = time.Now(), how
		}
	}
	r.write("runner %s: ended %s run %d: %s", on, task, run, how)
}

// runsOf returns the runs of a job whose task name starts with prefix.
func (r *recorder) runsOf(prefix string) []observed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []observed
	for _, o := range r.runs {
		if strings.HasPrefix(o.task, prefix) {
			out = append(out, *o)
		}
	}
	return out
}

// serve serves h on addr until the process ends.
func serve(addr string, h http.Handler) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}).Serve(lis) }()
	return nil
}

// process is one process of the system.
type process struct {
	name, role, settings, log string
	cmd                       *exec.Cmd
	done                      chan struct{}
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/berylsite", p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLGLADE_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func() { _ = p.cmd.Wait(); _ = log.Close(); close(done) }()
	return nil
}

// end kills the process and waits for its end.
func (p *process) end() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// cluster is a small deployment: entries, agents with one runner each, and the store.
type cluster struct {
	rec     *recorder
	store   *store
	entries []*process
	agents  []*process
	runners []*runner
	fronts  []string
	readies []string
	dir     string
}

const (
	_storePort  = "8524"
	_frontPort  = "8521"
	_readyPort  = "8523"
	_ctrlPort   = "8526"
	_runnerPort = "8529"
	_gpus       = 8
)

// newCluster starts the store, the processes and the runners on loopback addresses of a
// subnet that is free.
func newCluster(rec *recorder, dir, config string, entries, agents int) (*cluster, error) {
	c := &cluster{rec: rec, store: newStore(), dir: dir}
	c.store.put("keyed.op", "config", config)
	subnet := ""
	for range 50 {
		s := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if serve(s+"250:"+_storePort, c.store) == nil {
			subnet = s
			break
		}
	}
	if subnet == "" {
		return nil, errors.New("no free loopback address for the store")
	}
	var seeds []string
	for i := range min(entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%s", subnet, 1+i, _ctrlPort))
	}
	zones := []string{"z1", "z2", "z3"}
	for i := range entries {
		ip := fmt.Sprintf("%s%d", subnet, 1+i)
		p, err := c.process("entry", ip, zones[i%3], seeds, subnet, "")
		if err != nil {
			return nil, err
		}
		c.entries = append(c.entries, p)
		c.fronts = append(c.fronts, ip+":"+_frontPort)
		c.readies = append(c.readies, ip+":"+_readyPort)
	}
	for i := range agents {
		ip := fmt.Sprintf("%s%d", subnet, 11+i)
		p, err := c.process("agent", ip, zones[i%3], seeds, subnet, ip+":"+_runnerPort)
		if err != nil {
			return nil, err
		}
		c.agents = append(c.agents, p)
	}
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for i := range agents {
		ip := fmt.Sprintf("%s%d", subnet, 11+i)
		kind := "a"
		if i > 0 && i == agents-1 {
			kind = "b"
		}
		r, err := startRunner(rec, fmt.Sprintf("i-%d", i+1), ip+":"+_runnerPort, ip+":"+_ctrlPort, zones[i%3], kind, _gpus)
		if err != nil {
			return nil, err
		}
		c.runners = append(c.runners, r)
	}
	return c, nil
}

// process writes the settings of one process. The fields and bounds are those that
// `fleetbench wire` prints for the site.
func (c *cluster) process(role, ip, zone string, seeds []string, subnet, app string) (*process, error) {
	class, serves := "frontend", "frontend,control_plane"
	lines := []string{
		"listen.front=" + ip + ":" + _frontPort, "listen.ready=" + ip + ":" + _readyPort,
		"limits.cpuShare=0.4", "limits.memoryMb=284", "limits.maxFds=4100",
	}
	if role == "agent" {
		class, serves = "side", "side"
		lines = []string{"app=" + app, "service=s1", "limits.cpuShare=0.24", "limits.memoryMb=152", "limits.maxFds=4096"}
	}
	name := class + "-" + strings.ReplaceAll(ip, ".", "-")
	lines = append(lines,
		"node="+name, "role="+role, "class="+class, "serves="+serves, "ip="+ip, "zone="+zone, "region=r",
		"zones.z1=r", "zones.z2=r", "zones.z3=r", "listen.control="+ip+":"+_ctrlPort, "portRange=7000,7015",
		"seeds="+strings.Join(seeds, ","), "bootstrap=true", "limits.cores=1", "limits.linkMbps=1000.0",
		"discovery=local", "entry=vip", "heartbeatMs=1500",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200",
		"bounds.configApplyMs=2000", "bounds.strictRevoke=true", "bounds.revokeMs=5000", "bounds.evacuateMs=5000",
		"bounds.recoverS=12", "bounds.maxHoldMs=6000", "bounds.stopTimeoutMs=400", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.reclaimMs=2900", "orders=request", "platform.address="+subnet+"250:"+_storePort, "platform.form=log",
		"platform.writesPerS=800", "platform.readsPerS=2000", "platform.parts=12", "platform.recordBytes=262144",
		"platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200")
	path := filepath.Join(c.dir, name+".conf")
	err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	return &process{name: name, role: role, settings: path, log: filepath.Join(c.dir, name+".log")}, err
}

// close ends all processes.
func (c *cluster) close() {
	for _, p := range append(append([]*process{}, c.entries...), c.agents...) {
		p.end()
	}
}

// ready waits until all entries say that they are ready.
func (c *cluster) ready(limit time.Duration) error {
	until := time.Now().Add(limit)
	client := http.Client{Timeout: time.Second}
	for _, addr := range c.readies {
		for {
			resp, err := client.Get("http://" + addr + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("entry %s is not ready", addr)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// response is what a client has got; status zero means no answer.
type response struct {
	status int
	body   string
}

// send sends one request of a client to an entry and records it.
func (c *cluster) send(entry int, who, key, method, path, body string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+c.fronts[entry]+path, bytes.NewReader([]byte(body)))
	req.Host = "h.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Berylglade-Timeout-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	short := body
	if len(short) > 200 {
		short = short[:200] + "…"
	}
	c.rec.line("%s -> entry %d: %s %s %s", who, entry+1, method, path, short)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		c.rec.line("%s <- entry %d: %s %s: no answer", who, entry+1, method, path)
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	out := response{status: resp.StatusCode, body: strings.TrimSpace(string(text))}
	c.rec.line("%s <- entry %d: %s %s: %d %s", who, entry+1, method, path, out.status, out.body)
	return out
}

// submit hands a job in, at the other entries again while there is no final answer.
func (c *cluster) submit(who, key, path, body string) bool {
	for i := range 5 {
		switch r := c.send(i%len(c.fronts), who, key, http.MethodPost, path, body); r.status {
		case 200:
			return true
		case 0, 502, 504, 503, 429:
			time.Sleep(time.Second)
		default:
			return false
		}
	}
	return false
}

// await waits until ok is true, for limit at most.
func await(limit time.Duration, ok func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if ok() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ok()
}
