package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	_service = "huvo11a"
	// _restartDelay is the short delay after which the platform restarts a process.
	_restartDelay = 300 * time.Millisecond
	_sampleEvery  = 20 * time.Millisecond
)

// process is one of the project's processes, which is restarted when it ends, and killed
// when its memory exceeds that of its machine.
type process struct {
	name, role, conf string
	memory           int64
	rec              *recorder
	log              *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	ended   chan struct{}
	// overMemory counts the ends because of memory, ownEnds the others that nobody caused.
	overMemory, ownEnds int
	peak                int64
}

func (p *process) start() error {
	cmd := exec.Command(filepath.Join("target", "berylsite"), p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLGLADE_CONFIG=" + p.conf}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	ended := make(chan struct{})
	p.ended = ended
	killed := make(chan struct{}, 1)
	go p.watch(cmd.Process.Pid, ended, killed)
	go func() {
		_ = cmd.Wait()
		close(ended)
		p.mu.Lock()
		stopped := p.stopped
		why := "by itself"
		select {
		case <-killed:
			p.overMemory++
			why = "killed by the platform: memory over the limit"
		default:
			if !stopped {
				p.ownEnds++
			}
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		p.rec.add("%s ends, %s", p.name, why)
		time.Sleep(_restartDelay)
		p.mu.Lock()
		stopped = p.stopped
		p.mu.Unlock()
		if !stopped {
			_ = p.start()
		}
	}()
	return nil
}

// watch samples the memory of the process and kills it when it exceeds the limit. It counts
// anonymous memory only, which is less than what the process uses.
func (p *process) watch(pid int, ended, killed chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(_sampleEvery):
		}
		n := anonymous(pid)
		p.mu.Lock()
		p.peak = max(p.peak, n)
		p.mu.Unlock()
		if n > p.memory {
			killed <- struct{}{}
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

func anonymous(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir     string
	net     string
	rec     *recorder
	store   *store
	entries []*process
	agents  []*process
	runners []*runner
	storeAt string
	config  string
}

const (
	_frontPort, _readyPort, _controlPort, _appPort, _storePort, _firstPort = 8521, 8523, 8526, 8529, 8524, 7000
	_entryMemory                                                           = 284 << 20
	_agentMemory                                                           = 152 << 20
	_host                                                                  = "nony24.example"
	_urgent, _routine, _batch                                              = "/pufi791/", "/lohu930/", "/pule252/"
	_key, _otherKey                                                        = "d4a3hwrr6x73d3zji9n7", "3hh2b9wu3fexd9dnn2ct"
)

func configText(version int, keys string) string {
	route := func(name, prefix string, target, priority, attempts int, stretch float64) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":%d,"priority":%d,"service":%q,"maxAttempts":%d,"stretch":%v,"public":false}`,
			name, _host, prefix, target, priority, _service, attempts, stretch)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":%q,"healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"admissionCheck":true,"spare":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"kaje80","apiKeys":[%s],"priority":1,"guaranteed":{"gpu":16}},{"name":"second","apiKeys":["3hh2b9wu3fexd9dnn2ct"],"priority":1,"guaranteed":{"gpu":16}}]}`,
		version, route("r-batch", _batch, 3000, 2, 3, 3), route("r-routine", _routine, 1000, 1, 3, 3), route("r-urgent", _urgent, 250, 0, 4, 1.5), _service, keys)
}

// newFleet chooses a free loopback network and starts the store.
func newFleet(dir string, rec *recorder) (*fleet, error) {
	f := &fleet{dir: dir, rec: rec, store: newStore(), config: configText(7, `"`+_key+`"`)}
	pid := os.Getpid()
	for try := range 50 {
		f.net = fmt.Sprintf("127.%d.%d.", 20+(pid+try*7)%200, (pid/200+try)%250)
		f.storeAt = fmt.Sprintf("%s7:%d", f.net, _storePort)
		lis, err := net.Listen("tcp", f.storeAt)
		if err != nil {
			continue
		}
		f.store.put("keyed.op", "config", f.config)
		go func() { _ = http.Serve(lis, f.store) }()
		return f, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (f *fleet) entryIP(i int) string { return f.net + strconv.Itoa(20+i) }
func (f *fleet) agentIP(i int) string { return f.net + strconv.Itoa(40+i) }
func (f *fleet) front(i int) string   { return f.entryIP(i) + ":" + strconv.Itoa(_frontPort) }

const _bounds = `bootstrap=true
inTolerance=false
limits.cores=1
limits.maxFds=4100
discovery=local
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.evacuateMs=5000
bounds.recoverS=12
bounds.maxHoldMs=6000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.spreadFactor=3
bounds.checkpointS=2
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.reclaimMs=2900
orders=request
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.minTtlMs=1000
`

func (f *fleet) seeds() string {
	return fmt.Sprintf("%s:%d,%s:%d,%s:%d", f.entryIP(0), _controlPort, f.entryIP(1), _controlPort, f.entryIP(2), _controlPort)
}

func (f *fleet) process(name, role, ip, zone, extra string, memory int64, share float64, store string) (*process, error) {
	conf := filepath.Join(f.dir, name+".conf")
	text := fmt.Sprintf("node=%s\nip=%s\nzone=%s\nregion=quabbin\nportRange=%d,%d\nseeds=%s\nplatform.address=%s\nlimits.memoryMb=%d\nlimits.cpuShare=%v\nlisten.control=%s:%d\n%s%s",
		name, ip, zone, _firstPort, _firstPort+15, f.seeds(), store, memory>>20, share, ip, _controlPort, extra, _bounds)
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, conf: conf, memory: memory, rec: f.rec, log: log}
	return p, p.start()
}

func (f *fleet) addEntry(store string) error {
	i := len(f.entries)
	ip := f.entryIP(i)
	p, err := f.process("frontend-"+strconv.Itoa(i+1), "entry", ip, "z"+strconv.Itoa(i+1),
		fmt.Sprintf("class=frontend\nserves=frontend,control_plane\nlisten.front=%s:%d\nlisten.ready=%s:%d\n", ip, _frontPort, ip, _readyPort), _entryMemory, 0.4, store)
	if err == nil {
		f.entries = append(f.entries, p)
	}
	return err
}

// addAgent starts an agent and its backend server.
func (f *fleet) addAgent() error {
	i := len(f.agents)
	ip := f.agentIP(i)
	app := fmt.Sprintf("%s:%d", ip, _appPort)
	zone := "z" + strconv.Itoa(i%3+1)
	p, err := f.process("side-"+strconv.Itoa(i+1), "agent", ip, zone, fmt.Sprintf("class=side\nserves=side\napp=%s\nservice=%s\n", app, _service), _agentMemory, 0.24, f.storeAt)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, p)
	r, err := startRunner(fmt.Sprintf("i-%08x", 0x7f3a0000+i), app, fmt.Sprintf("%s:%d", ip, _controlPort), zone, fmt.Sprintf("r%d-1", i%3+1), f.rec)
	if err == nil {
		f.runners = append(f.runners, r)
	}
	return err
}

func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		wg.Go(p.end)
	}
	wg.Wait()
}

// awaitReady waits until all entries answer their readiness check.
func (f *fleet) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for i := range f.entries {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/ready", f.entryIP(i), _readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// client sends requests to the front of an entry.
type client struct {
	http *http.Client
	key  string
	rec  *recorder
}

func newClient(rec *recorder, key string) *client {
	return &client{http: &http.Client{Timeout: 3 * time.Second}, key: key, rec: rec}
}

// call sends one request and returns the status, zero if there is no answer, and the body.
func (c *client) call(method, addr, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = _host
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Berylglade-Timeout-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.add("client %s %s at %s: no answer", method, path, addr)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	text := strings.TrimSpace(b.String())
	c.rec.add("client %s %s (%d bytes) at %s: %d %s", method, path, len(body), addr, resp.StatusCode, text)
	return resp.StatusCode, text
}

// endedThrice returns how many of the processes have ended three times or more although
// nobody ended them, but for the platform because of their memory.
func (f *fleet) endedThrice(list []*process) int {
	n := 0
	for _, p := range list {
		p.mu.Lock()
		if p.overMemory+p.ownEnds >= 3 {
			n++
		}
		p.mu.Unlock()
	}
	return n
}

// memoryOf returns the ends and the peak memory of processes.
func memoryOf(list []*process) string {
	text := make([]string, 0, len(list))
	for _, p := range list {
		p.mu.Lock()
		text = append(text, fmt.Sprintf("%s: %d ends for memory, %d others, peak %d MB", p.name, p.overMemory, p.ownEnds, p.peak>>20))
		p.mu.Unlock()
	}
	return strings.Join(text, "; ")
}
