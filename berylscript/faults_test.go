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

// _exitLimit bounds the wait for the end of a process after SIGTERM.
const _exitLimit = 25 * time.Second

// TestFaults runs the scenarios under failure in testdata/faults. Beside the
// commands of TestScripts, they have:
//
//	boot             starts every process of the development system and waits
//	                 until all entries know all agents and the configuration
//	start NAME...    starts processes and waits until they are ready
//	crash NAME...    ends processes by SIGKILL
//	freeze NAME...   suspends processes by SIGSTOP
//	thaw NAME...     resumes processes by SIGCONT
//	begin NAME...    sends SIGTERM
//	ended NAME...    waits for processes; fails unless all exit with code 0
//	term NAME...     begin and ended, one process after the other
//	faults NAME JSON sets the faults of the stand-in of a backend server or the log
//	state ENTRY AGENT STATE
//	                 waits until an entry reports a state of an agent; an agent
//	                 that it does not list is gone
//	load SEED CALLERS [steady]
//	                 starts callers. With steady, they regard any outcome but a
//	                 whole answer as a violation
//	answered N       waits until N more calls have got their answer
//	check            stops the callers, waits until nothing runs, and compares
//	                 every outcome with the ledgers of the backend servers
//	quiet AGENT N    fails if the backend server of an agent starts a call
//	                 between 3 s after the command began and the end of the call
//	                 numbered N by hold
//	hold AGENT N DURATION
//	                 starts a call that runs for a time on an agent
//	keyed ENTRY KEY KIND
//	                 sends the one call of a key; fails unless its outcome is of a
//	                 kind
//	held N           waits for the call N and fails unless its answer is right
func TestFaults(t *testing.T) {
	h := newHelper(1)
	h.run(t, "testdata/faults", func(env *testscript.Env) {
		s := &processes{processes: map[string]*child{}, held: map[string]chan error{}}
		env.Values[processesKey{}] = s
		env.Defer(s.close)
	}, commands{
		"fleet":    h.fleet,
		"until":    h.until,
		"boot":     boot,
		"start":    startChildren,
		"crash":    signalChild(syscall.SIGKILL),
		"freeze":   signalChild(syscall.SIGSTOP),
		"thaw":     signalChild(syscall.SIGCONT),
		"begin":    signalChild(syscall.SIGTERM),
		"term":     term,
		"ended":    endedChild,
		"faults":   setFaults,
		"state":    state,
		"load":     startLoad,
		"answered": answered,
		"check":    check,
		"hold":     hold,
		"held":     held,
		"quiet":    quiet,
		"keyed":    keyedCall,
	})
}

// processesKey finds the system of a script.
type processesKey struct{}

// processes are the processes and the callers of one script.
type processes struct {
	processes map[string]*child
	callers   *callers
	// held has the outcomes of the calls that hold started.
	held map[string]chan error
}

func of(ts *testscript.TestScript) *processes {
	s, _ := ts.Value(processesKey{}).(*processes)
	return s
}

// close ends what the script left running.
func (s *processes) close() {
	for _, c := range s.processes {
		c.kill()
	}
	if s.callers != nil {
		s.callers.stop()
	}
}

func startChildren(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		of(ts).processes[name] = spawn(ts, name)
	}
	for _, name := range args {
		waitReady(ts, name, load(ts, name).Dump)
	}
}

func boot(ts *testscript.TestScript, _ bool, _ []string) {
	startChildren(ts, false, names(ts))
	ts.Check(ts.Exec("berylglade", "config", "publish", "configuration.hujson"))
	end := time.Now().Add(_untilLimit)
	for i := 1; i <= 3; i++ {
		for !configured(ts, "entry-"+strconv.Itoa(i)) {
			if time.Now().After(end) {
				ts.Fatalf("entry %d does not know all agents after %v", i, _untilLimit)
			}
			time.Sleep(_poll)
		}
	}
	for i := 1; i <= 3; i++ {
		name := "agent-" + strconv.Itoa(i)
		waitReady(ts, name, load(ts, name).Dump)
	}
}

// configured reports whether an entry has a configuration and knows that three
// agents have one.
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

// operator returns a client of an entry.
func operator(ts *testscript.TestScript, entry string) *berylclient.Client {
	return &berylclient.Client{
		Base:  "http://" + ts.Getenv("HTTP"+strings.TrimPrefix(entry, "entry-")),
		Token: "operator-token",
	}
}

func signalChild(sig os.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			of(ts).processes[name].send(ts, sig)
		}
		if sig != syscall.SIGKILL {
			return
		}
		for _, name := range args {
			<-of(ts).processes[name].ended
		}
	}
}

func term(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		signalChild(syscall.SIGTERM)(ts, false, []string{name})
		endedChild(ts, false, []string{name})
	}
}

func endedChild(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		c := of(ts).processes[name]
		select {
		case <-c.ended:
		case <-time.After(_exitLimit):
			ts.Fatalf("%v after SIGTERM:\n%s", _exitLimit, c.report())
		}
		if c.err != nil {
			ts.Fatalf("after SIGTERM:\n%s", c.report())
		}
	}
}

// standinAddr returns the address of a stand-in of a backend server or the log.
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

func ledger(ts *testscript.TestScript, name string) berylstandrunner.Ledger {
	ctx, cancel := context.WithTimeout(context.Background(), _untilLimit)
	defer cancel()
	_, body, err := get(ctx, "http://"+standinAddr(ts, name)+"/ledger")
	ts.Check(err)
	var l berylstandrunner.Ledger
	ts.Check(json.Unmarshal([]byte(body), &l))
	return l
}

func state(ts *testscript.TestScript, _ bool, args []string) {
	c := operator(ts, args[0])
	end := time.Now().Add(_untilLimit)
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
		time.Sleep(_poll)
	}
}

// attempt is one request of a caller and its outcome.
type attempt struct {
	key    string
	answer berylclient.Answer
	err    error
}

// outcome is all that a caller learned about one body.
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
	// answered is the number of whole answers.
	answered int
	// foreign are reads of another account's answer that succeeded.
	foreign []string
	// reads is the number of reads of another account's answer.
	reads int
}

func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Logf("load with seed %d and %d callers", seed, n)
	// A connection for each call: an idle connection that the entry closes
	// while a request is on its way would end as unknown in the client.
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	c := &callers{seed: seed, steady: len(args) > 2 && args[2] == "steady"}
	for a, account := range _accounts() {
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
	of(ts).callers = c
	for i := range n {
		c.wg.Go(func() { c.caller(ctx, i) })
	}
}

func _accounts() [2]string { return [2]string{"demo", "other"} }

func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
}

// caller sends one call after the other. Calls in progress end by themselves
// after ctx has ended.
func (c *callers) caller(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(c.seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		account := r.IntN(2)
		o := outcome{
			account: _accounts()[account],
			body:    fmt.Appendf(nil, "run=%dms %d-%d-%d %s", r.IntN(60), c.seed, number, i, strings.Repeat("x", r.IntN(2000))),
		}
		if r.IntN(2) == 0 {
			// Both accounts use the same keys for different bodies.
			o.key = fmt.Sprintf("key-%d-%d", number, i/2)
			if i%2 == 1 {
				o.key += "-odd"
			}
		}
		c.call(r, account, &o)
		c.probe(r, account, &o)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		if last := o.attempts[len(o.attempts)-1]; last.err == nil {
			c.answered++
		}
		c.mu.Unlock()
	}
}

// call sends one call. With a key, the caller repeats it at other entries until
// it has an answer; without, only after a refusal as not run.
func (c *callers) call(r *rand.Rand, account int, o *outcome) {
	const tries = 6
	entry := r.IntN(3)
	for i := range tries {
		// Some callers give up early and repeat the call elsewhere while the
		// first entry goes on with it.
		patience := 8 * time.Second
		if !c.steady && r.IntN(4) == 0 {
			patience = time.Duration(20+r.IntN(400)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		answer, err := c.clients[account][entry].Call(ctx, berylclient.Call{
			Class:   "once",
			Key:     o.key,
			Timeout: 6 * time.Second,
			Body:    o.body,
		})
		cancel()
		entry = (entry + 1 + r.IntN(2)) % 3
		if unsent(err) && i < tries-1 {
			// The load balancer takes another entry.
			time.Sleep(_poll)
			continue
		}
		o.attempts = append(o.attempts, attempt{key: o.key, answer: answer, err: err})
		switch {
		case err == nil:
			return
		case berylerror.Of(err) == berylerror.NotRun:
			// Some refusals are final, so that their bodies must never run.
			if !c.steady && r.IntN(2) == 0 {
				return
			}
		case o.key == "":
			return
		}
	}
}

// unsent reports whether the client had no connection to the entry.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// probe reads the answer of a call as the other account.
func (c *callers) probe(r *rand.Rand, account int, o *outcome) {
	last := o.attempts[len(o.attempts)-1]
	if last.answer.ID == "" || r.IntN(8) != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	got, err := c.clients[1-account][r.IntN(3)].Find(ctx, last.answer.ID, time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	if err == nil || len(got.Body) > 0 {
		c.foreign = append(c.foreign, last.answer.ID)
	}
}

func answered(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	c := of(ts).callers
	count := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.answered
	}
	first, end := count(), time.Now().Add(_untilLimit)
	for count() < first+n {
		if time.Now().After(end) {
			ts.Fatalf("%d instead of %d calls were answered in %v", count()-first, n, _untilLimit)
		}
		time.Sleep(_poll)
	}
}

// settle waits until no entry, agent or backend server has a call.
func settle(ts *testscript.TestScript) {
	end := time.Now().Add(_untilLimit)
	for !idle(ts) {
		if time.Now().After(end) {
			ts.Fatalf("calls are in progress %v after the last caller ended", _untilLimit)
		}
		time.Sleep(_poll)
	}
}

func idle(ts *testscript.TestScript) bool {
	for name, c := range of(ts).processes {
		select {
		case <-c.ended:
			continue
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, body, err := get(ctx, "http://"+load(ts, name).Dump+"/dump")
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

func check(ts *testscript.TestScript, _ bool, _ []string) {
	c := of(ts).callers
	c.stop()
	settle(ts)
	counts, bodies := map[string]int{}, map[string]int{}
	for i := 1; i <= 3; i++ {
		l := ledger(ts, "runner-"+strconv.Itoa(i))
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
	for _, id := range c.foreign {
		faults = append(faults, "another account read the answer of call "+id)
	}
	ts.Logf("seed %d: %d calls %v, %d reads as another account, %d violations", c.seed, len(c.outcomes), kinds, c.reads, len(faults))
	if len(faults) > 0 {
		ts.Fatalf("violations:\n%s", strings.Join(faults[:min(len(faults), 10)], "\n"))
	}
}

// String returns the number of the call and its attempts.
func (o *outcome) String() string {
	fields := strings.Fields(string(o.body))
	var text strings.Builder
	fmt.Fprintf(&text, "call %s of %s key %q:", fields[1], o.account, o.key)
	for i, a := range o.attempts {
		fmt.Fprintf(&text, " [%d %s %v]", i+1, a.answer.ID, a.err)
	}
	return text.String()
}

// check returns how the outcome contradicts the ledgers, or "".
func (o *outcome) check(steady bool, counts, bodies map[string]int) string {
	ran := bodies[berylstandrunner.Digest(o.body)]
	last := o.attempts[len(o.attempts)-1]
	switch {
	case ran > 1:
		return fmt.Sprintf("body ran %d times", ran)
	case last.err == nil && ran != 1:
		return "answered, but the body is in no ledger"
	case last.err == nil && counts[last.answer.ID] != 1:
		return fmt.Sprintf("answered, but its id ran %d times", counts[last.answer.ID])
	case last.err == nil && !bytes.Equal(last.answer.Body, berylstandrunner.Answer(last.answer.ID, o.body)):
		return fmt.Sprintf("wrong answer %q", last.answer.Body)
	case last.err != nil && berylerror.Of(last.err) == berylerror.Internal:
		return "error without a clear kind"
	case last.err != nil && len(last.answer.Body) > 0:
		return fmt.Sprintf("error with an answer %q", last.answer.Body)
	case ran != 0 && berylerror.Of(last.err) == berylerror.NotRun && !unsent(last.err):
		return "last refused as not run, but the body ran"
	case ran != 0 && !slices.ContainsFunc(o.attempts, func(a attempt) bool { return berylerror.Of(a.err) != berylerror.NotRun }):
		return "every request was refused as not run, but the body ran"
	case steady && last.err != nil:
		return "not answered although every stop was planned"
	}
	for _, a := range o.attempts[:len(o.attempts)-1] {
		if k := berylerror.Of(a.err); steady && k != berylerror.NotRun {
			return "interrupted although every stop was planned"
		}
	}
	return ""
}

// hold starts a call on a certain agent: it starts short calls until one runs
// there, which is certain to end as the choice among idle agents varies.
func hold(ts *testscript.TestScript, _ bool, args []string) {
	agent, number, d := args[0], args[1], args[2]
	runner := "runner-" + strings.TrimPrefix(agent, "agent-")
	end := time.Now().Add(_untilLimit)
	for i := 0; time.Now().Before(end); i++ {
		body := fmt.Appendf(nil, "run=%s hold %s %d", d, number, i)
		done := make(chan error, 1)
		go func() { done <- holdCall(ts.Getenv("HTTP"+strconv.Itoa(i%3+1)), body) }()
		if awaitBody(ts, runner, body) {
			of(ts).held[number] = done
			return
		}
	}
	ts.Fatalf("no call came to %s in %v", agent, _untilLimit)
}

func awaitBody(ts *testscript.TestScript, runner string, body []byte) bool {
	digest := berylstandrunner.Digest(body)
	for {
		for i := 1; i <= 3; i++ {
			name := "runner-" + strconv.Itoa(i)
			if ledger(ts, name).Bodies[digest] > 0 {
				return name == runner
			}
		}
		time.Sleep(_poll / 5)
	}
}

func holdCall(addr string, body []byte) error {
	c := berylclient.Client{Base: "http://" + addr, Account: "demo", Token: "demo-token", HTTP: &http.Client{Timeout: _untilLimit}}
	answer, err := c.Call(context.Background(), berylclient.Call{Class: "once", Body: body})
	if err == nil && !bytes.Equal(answer.Body, berylstandrunner.Answer(answer.ID, body)) {
		err = errors.Errorf("wrong answer %q", answer.Body)
	}
	return err
}

func held(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case err := <-of(ts).held[args[0]]:
		if err != nil {
			ts.Fatalf("call %s: %v", args[0], err)
		}
	case <-time.After(_untilLimit):
		ts.Fatalf("call %s has not ended", args[0])
	}
}

// quiet observes the backend server of an agent that drains.
func quiet(ts *testscript.TestScript, _ bool, args []string) {
	const allowed = 3 * time.Second
	runner := "runner-" + strings.TrimPrefix(args[0], "agent-")
	time.Sleep(allowed) // the bound of the invariant, which nothing announces
	first := len(ledger(ts, runner).Bodies)
	held(ts, false, args[1:2])
	if last := len(ledger(ts, runner).Bodies); last != first {
		ts.Fatalf("%s started %d calls more than %v after %s began to drain", runner, last-first, allowed, args[0])
	}
}

func keyedCall(ts *testscript.TestScript, _ bool, args []string) {
	c := operator(ts, args[0])
	c.Account, c.Token = "demo", "demo-token"
	ctx, cancel := context.WithTimeout(context.Background(), _untilLimit)
	defer cancel()
	_, err := c.Call(ctx, berylclient.Call{Class: "once", Key: args[1], Timeout: 2 * time.Second, Body: []byte("body of " + args[1])})
	kind := "ok"
	if err != nil {
		kind = berylerror.Of(err).String()
	}
	if kind != args[2] {
		ts.Fatalf("%s answers key %s with %s, want %s: %v", args[0], args[1], kind, args[2], err)
	}
}
