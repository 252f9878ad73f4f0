package berylscript

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"berylglade/berylapi"
	"berylglade/berylclient"
	"berylglade/berylerror"
	"berylglade/berylstandrunner"
)

// _exitTimeout bounds the wait for the exit of a process after SIGTERM.
const _exitTimeout = 25 * time.Second

// TestFaults runs the scripts in testdata/faults, which send calls while
// processes, backend servers and the log fail, and check that no call is lost,
// answered wrongly or run twice. In addition to fleet and until (see the package
// comment), the scripts have:
//
//	boot             starts every process of the development system, publishes
//	                 configuration.hujson and waits until all entries list all
//	                 agents as alive with that configuration
//	start NAME...    starts processes and waits until they are ready
//	crash NAME...    sends SIGKILL and waits for the exits
//	freeze NAME...   suspends processes with SIGSTOP
//	thaw NAME...     resumes processes with SIGCONT
//	sigterm NAME...  sends SIGTERM
//	exited NAME...   waits until processes exit; fails unless all exit with code 0
//	shutdown NAME... sigterm and exited, one process after the other
//	faults NAME JSON sets the faults that the stand-in of a backend server or of
//	                 the log injects
//	state ENTRY HOST STATE
//	                 waits until an entry reports the agent of a host in a state;
//	                 "gone" means that the entry does not list the agent
//	load SEED CALLERS [steady]
//	                 starts concurrent callers. With steady, any outcome except a
//	                 complete answer is a violation, apart from refusals as not
//	                 run that are retried
//	answered N       waits until N more calls are answered
//	check            stops the callers, waits until no call is in flight, and
//	                 compares every outcome with the ledgers of the backend servers
//	hold AGENT N DURATION
//	                 starts a call, named N, that runs for a time on the backend
//	                 server of an agent
//	quiet AGENT N    fails if the backend server of an agent starts a call later
//	                 than 3 s after this command begins and before the call N of
//	                 hold ends
//	held N           waits for the call N of hold and fails unless its answer is
//	                 correct
//	keyed ENTRY KEY KIND
//	                 sends a call with an idempotency key; fails unless its
//	                 outcome is ok or an error of the given kind
func TestFaults(t *testing.T) {
	h := newHarness(1)
	h.run(t, "testdata/faults", func(env *testscript.Env) {
		s := &faultState{processes: map[string]*child{}, heldCalls: map[string]chan error{}}
		env.Values[faultStateKey{}] = s
		env.Defer(s.close)
	}, commands{
		"fleet":    h.fleet,
		"until":    h.until,
		"boot":     bootSystem,
		"start":    startChildren,
		"crash":    signalChild(syscall.SIGKILL),
		"freeze":   signalChild(syscall.SIGSTOP),
		"thaw":     signalChild(syscall.SIGCONT),
		"sigterm":  signalChild(syscall.SIGTERM),
		"shutdown": stopChildren,
		"exited":   awaitExit,
		"faults":   setFaults,
		"state":    awaitAgentState,
		"load":     startLoad,
		"answered": awaitAnswers,
		"check":    checkOutcomes,
		"hold":     startHeldCall,
		"held":     awaitHeldCall,
		"quiet":    checkNoNewCalls,
		"keyed":    keyedCall,
	})
}

// faultStateKey is the key of a script's faultState in its environment.
type faultStateKey struct{}

// faultState has the processes and callers that one script started.
type faultState struct {
	processes map[string]*child
	callers   *callers
	// heldCalls has a channel for the outcome of each call that hold started.
	heldCalls map[string]chan error
}

func faultStateOf(ts *testscript.TestScript) *faultState {
	s, _ := ts.Value(faultStateKey{}).(*faultState)
	return s
}

// close kills the processes and stops the callers that are still running.
func (s *faultState) close() {
	for _, c := range s.processes {
		c.kill()
	}
	if s.callers != nil {
		s.callers.stop()
	}
}

func startChildren(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		faultStateOf(ts).processes[name] = spawn(ts, name)
	}
	for _, name := range args {
		waitReady(ts, name, readSettings(ts, name).Dump)
	}
}

func bootSystem(ts *testscript.TestScript, _ bool, _ []string) {
	startChildren(ts, false, processNames(ts))
	ts.Check(ts.Exec("berylglade", "config", "publish", "configuration.hujson"))
	end := time.Now().Add(_waitTimeout)
	for i := 1; i <= 3; i++ {
		for !configured(ts, "entry-"+strconv.Itoa(i)) {
			if time.Now().After(end) {
				ts.Fatalf("entry %d does not know all agents after %v", i, _waitTimeout)
			}
			time.Sleep(_pollInterval)
		}
	}
	for i := 1; i <= 3; i++ {
		name := "agent-" + strconv.Itoa(i)
		waitReady(ts, name, readSettings(ts, name).Dump)
	}
}

// configured reports whether an entry has a configuration and lists three agents
// as alive with the same version of it.
func configured(ts *testscript.TestScript, entry string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c := operator(ts, entry)
	cfg, err := c.Config(ctx)
	if err != nil || len(cfg.Classes) == 0 {
		return false
	}
	agents, err := c.Agents(ctx)
	alive := 0
	for i := range agents {
		if agents[i].State == "alive" && agents[i].Offset == cfg.Offset {
			alive++
		}
	}
	return err == nil && alive == 3
}

// operator returns a client of an entry with the operator's token.
func operator(ts *testscript.TestScript, entry string) *berylclient.Client {
	return &berylclient.Client{
		Base:  "http://" + ts.Getenv("HTTP"+strings.TrimPrefix(entry, "entry-")),
		Token: "operator-token",
	}
}

func signalChild(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			faultStateOf(ts).processes[name].send(ts, sig)
		}
		if sig != syscall.SIGKILL {
			return
		}
		for _, name := range args {
			<-faultStateOf(ts).processes[name].exited
		}
	}
}

func stopChildren(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		signalChild(syscall.SIGTERM)(ts, false, []string{name})
		awaitExit(ts, false, []string{name})
	}
}

func awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		c := faultStateOf(ts).processes[name]
		select {
		case <-c.exited:
		case <-time.After(_exitTimeout):
			ts.Fatalf("%v after SIGTERM:\n%s", _exitTimeout, c.report())
		}
		if c.err != nil {
			ts.Fatalf("after SIGTERM:\n%s", c.report())
		}
	}
}

// standinAddr returns the address of the stand-in of a backend server or of the log.
func standinAddr(ts *testscript.TestScript, name string) string {
	type bound struct {
		Bind string `json:"bind"`
	}
	var s struct {
		Runner bound `json:"runner"`
		Log    bound `json:"log"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(name+".hujson")), &s))
	return s.Runner.Bind + s.Log.Bind
}

func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post("http://"+standinAddr(ts, args[0])+"/faults", "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		ts.Fatalf("faults of %s: %s", args[0], text)
	}
}

func runnerLedger(ts *testscript.TestScript, name string) berylstandrunner.Ledger {
	ctx, cancel := context.WithTimeout(context.Background(), _waitTimeout)
	defer cancel()
	_, body, err := get(ctx, "http://"+standinAddr(ts, name)+"/ledger")
	ts.Check(err)
	var l berylstandrunner.Ledger
	ts.Check(json.Unmarshal([]byte(body), &l))
	return l
}

func awaitAgentState(ts *testscript.TestScript, _ bool, args []string) {
	c := operator(ts, args[0])
	end := time.Now().Add(_waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		agents, err := c.Agents(ctx)
		cancel()
		i := slices.IndexFunc(agents, func(a berylapi.Agent) bool { return a.Name == args[1] })
		switch {
		case err != nil:
		case i < 0 && args[2] == "gone", i >= 0 && agents[i].State == args[2]:
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s does not report %s as %s: %v %+v", args[0], args[1], args[2], err, agents)
		}
		time.Sleep(_pollInterval)
	}
}

// attempt is one request of a call and its result.
type attempt struct {
	key    string
	answer berylclient.Answer
	err    error
}

// outcome has a call, identified by its unique body, and all its attempts.
type outcome struct {
	body     []byte
	key      string
	account  string
	attempts []attempt
}

// callers send calls with unique bodies until they are stopped.
type callers struct {
	seed    uint64
	steady  bool
	clients [2][3]*berylclient.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
	// answered is the number of calls that got a complete answer.
	answered int
	// leaked has the ids of calls whose answer the other account could read.
	leaked []string
	// foreignReads is the number of attempts to read the other account's answers.
	foreignReads int
}

func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Logf("load with seed %d and %d callers", seed, n)
	// Each call has a connection of its own: if the entry closed an idle
	// connection just as the client reuses it, the client would report an unknown
	// outcome.
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	c := &callers{seed: seed, steady: len(args) > 2 && args[2] == "steady"}
	for a, account := range accountNames() {
		for i := range c.clients[a] {
			c.clients[a][i] = &berylclient.Client{
				Base:    "http://" + ts.Getenv("HTTP"+strconv.Itoa(i+1)),
				Account: account,
				Token:   account + "-token",
				HTTP:    &http.Client{Transport: transport},
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	faultStateOf(ts).callers = c
	for i := range n {
		c.wg.Go(func() { c.runCaller(ctx, i) })
	}
}

func accountNames() [2]string { return [2]string{"demo", "other"} }

func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
}

// runCaller sends one call after another until ctx ends. The call in flight is
// then completed, not cancelled.
func (c *callers) runCaller(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(c.seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		account := r.IntN(2)
		o := outcome{
			account: accountNames()[account],
			body:    fmt.Appendf(nil, "run=%dms %d-%d-%d %s", r.IntN(60), c.seed, number, i, strings.Repeat("x", r.IntN(2000))),
		}
		if r.IntN(2) == 0 {
			// Both accounts use the same keys, for different bodies.
			o.key = fmt.Sprintf("key-%d-%d", number, i/2)
			if i%2 == 1 {
				o.key += "-odd"
			}
		}
		c.sendCall(r, account, &o)
		c.readAsOtherAccount(r, account, &o)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		if last := o.attempts[len(o.attempts)-1]; last.err == nil {
			c.answered++
		}
		c.mu.Unlock()
	}
}

// sendCall sends one call. With a key, it retries at other entries until the call
// is answered; without a key, only after a refusal as not run.
func (c *callers) sendCall(r *rand.Rand, account int, o *outcome) {
	const maxAttempts = 6
	entry := r.IntN(3)
	for i := range maxAttempts {
		// Some attempts time out early, so that the caller retries at another
		// entry while the first one still processes the call.
		timeout := 8 * time.Second
		if !c.steady && r.IntN(4) == 0 {
			timeout = time.Duration(20+r.IntN(400)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		answer, err := c.clients[account][entry].Call(ctx, berylclient.Call{
			Class:   "once",
			Key:     o.key,
			Timeout: 6 * time.Second,
			Body:    o.body,
		})
		cancel()
		entry = (entry + 1 + r.IntN(2)) % 3
		if dialFailed(err) && i < maxAttempts-1 {
			// A load balancer would choose another entry.
			time.Sleep(_pollInterval)
			continue
		}
		o.attempts = append(o.attempts, attempt{key: o.key, answer: answer, err: err})
		switch {
		case err == nil:
			return
		case berylerror.Of(err) == berylerror.NotRun:
			// Some refused calls are not retried; their bodies must never run.
			if !c.steady && r.IntN(2) == 0 {
				return
			}
		case o.key == "":
			return
		}
	}
}

// dialFailed reports whether the client could not connect to the entry, so that
// the request was not sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readAsOtherAccount tries, for some of the calls, to read the answer with the
// other account's credentials, which must fail.
func (c *callers) readAsOtherAccount(r *rand.Rand, account int, o *outcome) {
	last := o.attempts[len(o.attempts)-1]
	if last.answer.ID == "" || r.IntN(8) != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	got, err := c.clients[1-account][r.IntN(3)].Find(ctx, last.answer.ID, time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.foreignReads++
	if err == nil || len(got.Body) > 0 {
		c.leaked = append(c.leaked, last.answer.ID)
	}
}

func awaitAnswers(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	c := faultStateOf(ts).callers
	count := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.answered
	}
	first, end := count(), time.Now().Add(_waitTimeout)
	for count() < first+n {
		if time.Now().After(end) {
			ts.Fatalf("%d instead of %d calls were answered in %v", count()-first, n, _waitTimeout)
		}
		time.Sleep(_pollInterval)
	}
}

// awaitIdle waits until no entry, agent or backend server has a call in flight.
func awaitIdle(ts *testscript.TestScript) {
	end := time.Now().Add(_waitTimeout)
	for !idle(ts) {
		if time.Now().After(end) {
			ts.Fatalf("calls are still in flight %v after the last caller stopped", _waitTimeout)
		}
		time.Sleep(_pollInterval)
	}
}

func idle(ts *testscript.TestScript) bool {
	for name, c := range faultStateOf(ts).processes {
		select {
		case <-c.exited:
			continue
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, body, err := get(ctx, "http://"+readSettings(ts, name).Dump+"/dump")
		cancel()
		var s struct {
			Inflight int `json:"inflight"`
			Busy     int `json:"busy"`
			Queued   int `json:"queued"`
			Running  int `json:"running"`
		}
		if err != nil || json.Unmarshal([]byte(body), &s) != nil {
			return false
		}
		if strings.HasPrefix(name, "worker") {
			continue
		}
		if s.Inflight+s.Busy+s.Queued+s.Running > 0 {
			return false
		}
	}
	return true
}

func checkOutcomes(ts *testscript.TestScript, _ bool, _ []string) {
	c := faultStateOf(ts).callers
	c.stop()
	awaitIdle(ts)
	counts, bodies := map[string]int{}, map[string]int{}
	for i := 1; i <= 3; i++ {
		l := runnerLedger(ts, "runner-"+strconv.Itoa(i))
		for id, n := range l.Counts {
			counts[id] += n
		}
		for digest, n := range l.Bodies {
			bodies[digest] += n
		}
	}
	kinds := map[string]int{}
	var faults []string
	for i := range c.outcomes {
		o := &c.outcomes[i]
		last := o.attempts[len(o.attempts)-1]
		kind := "ok"
		if last.err != nil {
			kind = berylerror.Of(last.err).String()
		}
		kinds[kind]++
		if fault := o.check(c.steady, counts, bodies); fault != "" {
			faults = append(faults, fmt.Sprintf("%s: %s", o, fault))
		}
	}
	for id, n := range counts {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("call %s ran %d times", id, n))
		}
	}
	for _, id := range c.leaked {
		faults = append(faults, "the other account read the answer of call "+id)
	}
	ts.Logf("seed %d: %d calls by outcome %v, %d read attempts by the other account, %d violations", c.seed, len(c.outcomes), kinds, c.foreignReads, len(faults))
	if len(faults) > 0 {
		ts.Fatalf("violations:\n%s", strings.Join(faults[:min(len(faults), 10)], "\n"))
	}
}

// String describes the call and its attempts.
func (o *outcome) String() string {
	fields := strings.Fields(string(o.body))
	var text strings.Builder
	fmt.Fprintf(&text, "call %s of %s key %q:", fields[1], o.account, o.key)
	for i, a := range o.attempts {
		fmt.Fprintf(&text, " [%d %s %v]", i+1, a.answer.ID, a.err)
	}
	return text.String()
}

// check describes how the outcome contradicts the ledgers of the backend servers,
// or returns "". counts has the number of runs by call id, bodies by digest of
// the body.
func (o *outcome) check(steady bool, counts, bodies map[string]int) string {
	ran := bodies[berylstandrunner.Digest(o.body)]
	last := o.attempts[len(o.attempts)-1]
	switch {
	case ran > 1:
		return fmt.Sprintf("body ran %d times", ran)
	case last.err == nil && ran != 1:
		return "answered, but the body is in no backend server's ledger"
	case last.err == nil && counts[last.answer.ID] != 1:
		return fmt.Sprintf("answered, but the ledgers have %d runs of its id", counts[last.answer.ID])
	case last.err == nil && !bytes.Equal(last.answer.Body, berylstandrunner.Answer(last.answer.ID, o.body)):
		return fmt.Sprintf("wrong answer %q", last.answer.Body)
	case last.err != nil && berylerror.Of(last.err) == berylerror.Internal:
		return "failed with an internal error or one without a kind"
	case last.err != nil && len(last.answer.Body) > 0:
		return fmt.Sprintf("failed, but the answer has the body %q", last.answer.Body)
	case ran != 0 && berylerror.Of(last.err) == berylerror.NotRun:
		return "last attempt refused as not run, but the body ran"
	case ran != 0 && !slices.ContainsFunc(o.attempts, func(a attempt) bool { return berylerror.Of(a.err) != berylerror.NotRun }):
		return "every attempt refused as not run, but the body ran"
	case steady && last.err != nil:
		return "not answered although all stops were planned"
	}
	for _, a := range o.attempts[:len(o.attempts)-1] {
		if k := berylerror.Of(a.err); steady && k != berylerror.NotRun {
			return "an attempt was interrupted although all stops were planned"
		}
	}
	return ""
}

// startHeldCall starts a call on the given agent. A caller can't choose the agent,
// so it starts calls until one runs there. This succeeds after a few calls, since
// entries vary their choice among idle agents.
func startHeldCall(ts *testscript.TestScript, _ bool, args []string) {
	agent, number, d := args[0], args[1], args[2]
	runner := "runner-" + strings.TrimPrefix(agent, "agent-")
	end := time.Now().Add(_waitTimeout)
	for i := 0; time.Now().Before(end); i++ {
		body := fmt.Appendf(nil, "run=%s hold %s %d", d, number, i)
		done := make(chan error, 1)
		go func() { done <- holdCall(ts.Getenv("HTTP"+strconv.Itoa(i%3+1)), body) }()
		if ranOn(ts, runner, body) {
			faultStateOf(ts).heldCalls[number] = done
			return
		}
	}
	ts.Fatalf("no call was sent to %s within %v", agent, _waitTimeout)
}

// ranOn waits until a backend server has started the call with a body and reports
// whether it is the given one.
func ranOn(ts *testscript.TestScript, runner string, body []byte) bool {
	digest := berylstandrunner.Digest(body)
	for {
		for i := 1; i <= 3; i++ {
			name := "runner-" + strconv.Itoa(i)
			if runnerLedger(ts, name).Bodies[digest] > 0 {
				return name == runner
			}
		}
		time.Sleep(_pollInterval / 5)
	}
}

func holdCall(addr string, body []byte) error {
	c := berylclient.Client{Base: "http://" + addr, Account: "demo", Token: "demo-token", HTTP: &http.Client{Timeout: _waitTimeout}}
	answer, err := c.Call(context.Background(), berylclient.Call{Class: "once", Body: body})
	if err == nil && !bytes.Equal(answer.Body, berylstandrunner.Answer(answer.ID, body)) {
		err = errors.Errorf("wrong answer %q", answer.Body)
	}
	return err
}

func awaitHeldCall(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case err := <-faultStateOf(ts).heldCalls[args[0]]:
		if err != nil {
			ts.Fatalf("call %s: %v", args[0], err)
		}
	case <-time.After(_waitTimeout):
		ts.Fatalf("call %s has not ended", args[0])
	}
}

// checkNoNewCalls checks that the backend server of a draining agent starts no
// call after the bound.
func checkNoNewCalls(ts *testscript.TestScript, _ bool, args []string) {
	const drainBound = 3 * time.Second
	runner := "runner-" + strings.TrimPrefix(args[0], "agent-")
	time.Sleep(drainBound) // no event marks the end of the bound
	first := len(runnerLedger(ts, runner).Bodies)
	awaitHeldCall(ts, false, args[1:2])
	if last := len(runnerLedger(ts, runner).Bodies); last != first {
		ts.Fatalf("%s started %d calls later than %v after %s began to drain", runner, last-first, drainBound, args[0])
	}
}

func keyedCall(ts *testscript.TestScript, _ bool, args []string) {
	c := operator(ts, args[0])
	c.Account, c.Token = "demo", "demo-token"
	ctx, cancel := context.WithTimeout(context.Background(), _waitTimeout)
	defer cancel()
	_, err := c.Call(ctx, berylclient.Call{Class: "once", Key: args[1], Timeout: 2 * time.Second, Body: []byte("body of " + args[1])})
	kind := "ok"
	if err != nil {
		kind = berylerror.Of(err).String()
	}
	if kind != args[2] {
		ts.Fatalf("%s answered key %s with %s, want %s: %v", args[0], args[1], kind, args[2], err)
	}
}
