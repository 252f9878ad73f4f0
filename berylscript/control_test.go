package berylscript

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"berylglade/berylapi"
	"berylglade/berylclient"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryljob"
	"berylglade/berylshape"
	"berylglade/berylstandlog"
	"berylglade/berylstandworker"
)

// _jobEndTimeout bounds the wait for the end of jobs after a failure.
const _jobEndTimeout = 55 * time.Second

// TestControl runs the scripts in testdata/control, which kill and freeze
// processes or inject faults into the log, and check gangs, configuration changes
// and failure domains. In addition to fleet, ready, until, same, code and set (see
// the package comment), the scripts have:
//
//	start [NAME...]      starts the named processes, or all
//	signal SIGNAL NAME...
//	                     sends KILL, STOP or CONT to processes; waits for the exit
//	                     after KILL
//	leader               waits for a leading entry, and sets $LEADER to its name
//	                     and $BERYLGLADE_ENTRY to the address of another entry
//	deposed ENTRY        waits until an entry follows another leader
//	roles JOB            waits until all tasks of a job run, and sets $ANCHOR to the
//	                     agent of the gang's anchor, the member that decides its
//	                     start, and $MEMBER to that of another member
//	moment SEED LIMIT    waits for a random time below the limit, so that the next
//	                     failure is injected at a moment that the seed determines
//	gangs BOUND JOB...   waits until each job has ended or all its tasks run; fails
//	                     if only a part of a gang ran for longer than the bound, if
//	                     a job of class once ran in two attempts, or if a job of
//	                     another class ended without success
//	halted JOB           waits until no task of a job runs
//	ended JOB...         waits until jobs have ended
//	attempts N JOB       fails unless exactly N attempts of a job started tasks
//	faults JSON          sets the faults that the stand-in of the log injects
//	checkdomainout HOST DOMAIN FROZEN ENTRY...
//	                     checks that nothing starts in a failure domain that is
//	                     out; see checkDomainOut
//	publish CLASS        adds a class and waits until it is in force
//	inforce              waits until the last change is in force; see inforce
//	race SEED ROUNDS     publishes conflicting changes; see race
//	outage DURATION JOB  checks service while the log is down; see outage
//	keyed PREFIX         sends calls with the same keys to all entries; see keyed
//	appends              checks the rate of appends to the log; see appends
func TestControl(t *testing.T) {
	h := newHarness(_maxSystems)
	h.run(t, "testdata/control", func(env *testscript.Env) {
		s := &controlState{running: map[string]*child{}, replaced: map[string]bool{}}
		env.Values[controlKey{}] = s
		env.Defer(s.kill)
	}, commands{
		"fleet":          h.fleet,
		"ready":          h.ready,
		"until":          h.until,
		"same":           h.same,
		"code":           h.code,
		"set":            h.set,
		"start":          start,
		"signal":         signal,
		"leader":         leader,
		"deposed":        deposed,
		"roles":          roles,
		"moment":         moment,
		"gangs":          gangs,
		"halted":         halted,
		"ended":          ended,
		"attempts":       attempts,
		"faults":         faults,
		"checkdomainout": checkDomainOut,
		"publish":        publish,
		"inforce":        inforce,
		"race":           race,
		"outage":         outage,
		"keyed":          keyed,
		"appends":        appends,
	})
}

// controlKey is the key of a script's controlState in its environment.
type controlKey struct{}

// controlState has the processes that one script started and the last change that
// it published.
type controlState struct {
	running map[string]*child
	// replaced has the names of the processes that were killed since the last
	// change was in force.
	replaced map[string]bool
	// publishedOffset is the log offset of the last change. publishedAt is the time
	// at which it was accepted, or zero once it is in force.
	publishedOffset int64
	publishedAt     time.Time
}

func stateOf(ts *testscript.TestScript) *controlState { return ts.Value(controlKey{}).(*controlState) }

// kill kills all processes.
func (s *controlState) kill() {
	for _, c := range s.running {
		c.kill()
	}
}

// report returns the state and the last output of each process.
func (s *controlState) report() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.running)) {
		b.WriteString(s.running[name].report())
	}
	return b.String()
}

func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		args = processNames(ts)
	}
	for _, name := range args {
		stateOf(ts).running[name] = spawn(ts, name)
	}
}

func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	s := stateOf(ts)
	for _, name := range args[1:] {
		c := s.running[name]
		if c == nil {
			ts.Fatalf("%s is not running", name)
		}
		c.send(ts, signals[args[0]])
		if args[0] == "KILL" {
			<-c.exited
			delete(s.running, name)
			s.replaced[name] = true
		}
	}
}

// poll calls f until it returns "". After the limit, it fails the script with the
// last problem that f returned.
func poll(ts *testscript.TestScript, limit time.Duration, f func(ctx context.Context) string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	last := "no request was answered"
	for {
		problem := f(ctx)
		if problem == "" {
			return
		}
		if ctx.Err() != nil {
			// A problem returned after the limit may only be its effect, so the
			// previous one is reported.
			ts.Fatalf("after %v: %s\n%s%s", limit, last, stateOf(ts).report(), entryDumps(ctx, ts))
		}
		last = problem
		time.Sleep(_pollInterval)
	}
}

// entryDumps returns the dump of each entry: its term, its members and the stages of the
// jobs that it leads.
func entryDumps(ctx context.Context, ts *testscript.TestScript) string {
	var b strings.Builder
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("entry-%d", i)
		var dump json.RawMessage
		err := getJSON(ctx, "http://"+readSettings(ts, name).Dump+"/dump", &dump)
		if err != nil {
			// A suspended process does not answer.
			dump = []byte(err.Error())
		}
		fmt.Fprintf(&b, "== dump of %s:\n%s\n", name, dump)
	}
	return b.String()
}

// getJSON reads JSON from a process. Each request has a short timeout, since a
// frozen process does not answer.
func getJSON(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_, body, err := get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(body), v)
}

// entryDump is the part of an entry's dump that the commands need.
type entryDump struct {
	Term    int64 `json:"term"`
	Leading bool  `json:"leading"`
}

func readEntryDump(ctx context.Context, ts *testscript.TestScript, name string) (entryDump, error) {
	var s entryDump
	err := getJSON(ctx, "http://"+readSettings(ts, name).Dump+"/dump", &s)
	return s, err
}

func leader(ts *testscript.TestScript, _ bool, _ []string) {
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		for i := 1; i <= 3; i++ {
			name := fmt.Sprintf("entry-%d", i)
			s, err := readEntryDump(ctx, ts, name)
			if err == nil && s.Leading {
				ts.Setenv("LEADER", name)
				ts.Setenv("BERYLGLADE_ENTRY", ts.Getenv(fmt.Sprintf("HTTP%d", i%3+1)))
				return ""
			}
		}
		return "no entry leads"
	})
}

func deposed(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		own, err := readEntryDump(ctx, ts, args[0])
		if err != nil {
			return err.Error()
		}
		if own.Leading {
			return args[0] + " leads"
		}
		for i := 1; i <= 3; i++ {
			s, err := readEntryDump(ctx, ts, fmt.Sprintf("entry-%d", i))
			if err == nil && s.Leading && s.Term == own.Term {
				return ""
			}
		}
		return "no other entry leads"
	})
}

func client(ts *testscript.TestScript) *berylclient.Client {
	return &berylclient.Client{
		Base:    "http://" + ts.Getenv("BERYLGLADE_ENTRY"),
		Account: "demo",
		Token:   "demo-token",
		HTTP:    &http.Client{Timeout: 2 * time.Second},
	}
}

func roles(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		job, err := client(ts).Job(ctx, args[0])
		if err != nil {
			return err.Error()
		}
		parts := runningTasks(workerTasks(ctx, ts), args[0])
		if len(job.Members) < 3 || parts != job.Tasks {
			return fmt.Sprintf("%d running tasks, %d members, phase %v: %s", parts, len(job.Members), job.Phase, job.Reason)
		}
		ts.Setenv("ANCHOR", strings.Replace(job.Members[0].Agent, "host", "agent", 1))
		ts.Setenv("MEMBER", strings.Replace(job.Members[2].Agent, "host", "agent", 1))
		return ""
	})
}

func moment(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	d := time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(limit)))
	ts.Logf("seed %d: injecting the failure after %v", seed, d)
	time.Sleep(d)
}

func faults(ts *testscript.TestScript, _ bool, args []string) {
	var s struct {
		Log struct {
			Bind string `json:"bind"`
		} `json:"log"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("log.hujson")), &s))
	resp, err := http.Post("http://"+s.Log.Bind+"/faults", "application/json", strings.NewReader(args[0]))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		ts.Fatalf("set faults of the log: %s", body)
	}
}

// workerTask is a task in the ledger of one worker.
type workerTask struct {
	berylstandworker.Record
	Worker string
}

// workerTasks returns the tasks in the ledgers of all workers.
func workerTasks(ctx context.Context, ts *testscript.TestScript) []workerTask {
	var all []workerTask
	for i := 1; i <= 3; i++ {
		var s struct {
			Worker struct {
				Bind string `json:"bind"`
			} `json:"worker"`
		}
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(fmt.Sprintf("worker-%d.hujson", i))), &s))
		var records []berylstandworker.Record
		ts.Check(getJSON(ctx, "http://"+s.Worker.Bind+"/ledger", &records))
		for j := range records {
			all = append(all, workerTask{Record: records[j], Worker: fmt.Sprintf("worker-%d", i)})
		}
	}
	return all
}

// tasksByAttempt returns the tasks of a job by attempt.
func tasksByAttempt(all []workerTask, job string) map[string][]workerTask {
	list := map[string][]workerTask{}
	for _, task := range all {
		if task.Labels["job"] == job {
			list[task.Labels["attempt"]] = append(list[task.Labels["attempt"]], task)
		}
	}
	return list
}

func gangs(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[0])
	ts.Check(err)
	states := map[string]beryljob.State{}
	poll(ts, _jobEndTimeout, func(ctx context.Context) string {
		all := workerTasks(ctx, ts)
		for _, id := range args[1:] {
			checkPartial(ts, all, id, bound)
		}
		for _, id := range args[1:] {
			job, err := client(ts).Job(ctx, id)
			n := runningTasks(all, id)
			if err != nil || (n != 3 && (n > 0 || !job.Phase.Ended())) {
				return fmt.Sprintf("job %s is %v with %d running tasks: %s %v", id, job.Phase, n, job.Reason, err)
			}
			states[id] = job
		}
		return ""
	})
	all := workerTasks(context.Background(), ts)
	for _, id := range args[1:] {
		list := tasksByAttempt(all, id)
		job := states[id]
		for attempt, tasks := range list {
			ts.Logf("job %s of class %s, %v: attempt %s ran %d tasks, partial for %v", id, job.Class, job.Phase, attempt, len(tasks), longestPartial(tasks))
		}
		if len(list) > 1 && job.Class == "once" {
			ts.Fatalf("%d attempts of job %s started tasks, want at most 1", len(list), id)
		}
		if job.Class != "once" && job.Phase.Ended() && job.Phase != beryljob.Done {
			ts.Fatalf("job %s is %v: %s", id, job.Phase, job.Reason)
		}
	}
}

func checkPartial(ts *testscript.TestScript, all []workerTask, id string, bound time.Duration) {
	for attempt, tasks := range tasksByAttempt(all, id) {
		if partial := longestPartial(tasks); partial > bound {
			ts.Fatalf("attempt %s of job %s ran in part for %v, bound %v", attempt, id, partial, bound)
		}
	}
}

// longestPartial returns the longest uninterrupted time during which some but not
// all tasks of one attempt ran. Each gang has three tasks.
func longestPartial(tasks []workerTask) time.Duration {
	const want = 3
	now := time.Now()
	type change struct {
		at time.Time
		n  int
	}
	var changes []change
	for _, t := range tasks {
		end := t.End
		if end.IsZero() {
			end = now
		}
		changes = append(changes, change{at: t.Start, n: 1}, change{at: end, n: -1})
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	var longest time.Duration
	var since time.Time
	running := 0
	for _, c := range changes {
		wasPartial := running > 0 && running < want
		running += c.n
		isPartial := running > 0 && running < want
		if !wasPartial && isPartial {
			since = c.at
		}
		if wasPartial {
			longest = max(longest, c.at.Sub(since))
		}
	}
	return longest
}

func halted(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		if n := runningTasks(workerTasks(ctx, ts), args[0]); n > 0 {
			return fmt.Sprintf("%d tasks of job %s run", n, args[0])
		}
		return ""
	})
}

func ended(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, _jobEndTimeout, func(ctx context.Context) string {
		for _, id := range args {
			if job, err := client(ts).Job(ctx, id); err != nil || !job.Phase.Ended() {
				return fmt.Sprintf("job %s is %v: %s %v", id, job.Phase, job.Reason, err)
			}
		}
		return ""
	})
}

func runningTasks(all []workerTask, job string) int {
	n := 0
	for _, task := range all {
		if task.Labels["job"] == job && task.End.IsZero() {
			n++
		}
	}
	return n
}

func attempts(ts *testscript.TestScript, _ bool, args []string) {
	n := len(tasksByAttempt(workerTasks(context.Background(), ts), args[1]))
	if strconv.Itoa(n) != args[0] {
		ts.Fatalf("%d attempts of job %s started tasks, want %s", n, args[1], args[0])
	}
}

const (
	// _outBound is the time after the acceptance of a change that takes a failure
	// domain out within which starts there must cease.
	_outBound = 5 * time.Second
	// _outObservation is how long the check watches for starts after _outBound.
	_outObservation = 5 * time.Second
	// _callClients is the number of concurrent calls and _jobClients that of
	// concurrent jobs. A job takes more than half of a host, so that a host runs
	// one at a time.
	_callClients = 6
	_jobClients  = 6
)

// checkDomainOut sends calls and jobs, takes a failure domain out and fails if a
// call or task starts on its host after the bound. Then it brings the failure
// domain back and waits until the host gets work again. The arguments are the
// number of the host, its failure domain, a process to freeze before the change or
// "none", and the entries that receive calls and jobs. A frozen agent is resumed
// while starts are still watched, a frozen entry after that.
func checkDomainOut(ts *testscript.TestScript, _ bool, args []string) {
	host, domain, frozen := args[0], args[1], args[2]
	ctx, cancel := context.WithTimeout(context.Background(), _jobEndTimeout)
	defer cancel()
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	for i := range _callClients {
		load.Go(func() { offerCalls(ctx, clientAt(ts, args[3+i%len(args[3:])])) })
	}
	for i := range _jobClients {
		load.Go(func() { offerJobs(ctx, clientAt(ts, args[3+i%len(args[3:])])) })
	}
	poll(ts, _waitTimeout, func(ctx context.Context) string { return checkWorked(ctx, ts, host, 0, time.Time{}) })
	if frozen != "none" {
		signal(ts, false, []string{"STOP", frozen})
	}
	operator := clientAt(ts, args[3])
	operator.Token = "operator-token"
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		if _, err := operator.TakeDomainOut(ctx, domain, berylapi.OutRequest{}); err != nil {
			return err.Error()
		}
		return ""
	})
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(_outBound)))
	calls := startedCalls(ctx, ts, host)
	if strings.HasPrefix(frozen, "agent") {
		signal(ts, false, []string{"CONT", frozen})
	}
	time.Sleep(time.Until(accepted.Add(_outBound + _outObservation)))
	if n := startedCalls(ctx, ts, host) - calls; n > 0 {
		ts.Fatalf("%d calls started on host %s later than %v after its failure domain was taken out", n, host, _outBound)
	}
	elsewhere := 0
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		elsewhere = 0
		for _, task := range workerTasks(ctx, ts) {
			if task.Start.Before(accepted.Add(_outBound)) {
				continue
			}
			if task.Worker == "worker-"+host {
				ts.Fatalf("task %s started on host %s %v after its failure domain was taken out", task.ID, host, task.Start.Sub(accepted))
			}
			elsewhere++
		}
		if elsewhere == 0 {
			return "no task started on the other hosts"
		}
		return ""
	})
	if frozen != "none" {
		signal(ts, false, []string{"CONT", frozen})
	}
	_, err := operator.BringDomainBack(ctx, domain)
	ts.Check(err)
	back := time.Now()
	poll(ts, _waitTimeout, func(ctx context.Context) string { return checkWorked(ctx, ts, host, calls, back) })
	ts.Logf("host %s: %d calls before the bound, %d tasks elsewhere after it, work again %v after the failure domain was back", host, calls, elsewhere, time.Since(back))
}

// checkWorked returns "" if more than the given number of calls started on a host
// and a task started there after a time, and what is missing otherwise.
func checkWorked(ctx context.Context, ts *testscript.TestScript, host string, calls int, since time.Time) string {
	if n := startedCalls(ctx, ts, host); n <= calls {
		return fmt.Sprintf("%d calls started on host %s", n, host)
	}
	for _, task := range workerTasks(ctx, ts) {
		if task.Worker == "worker-"+host && task.Start.After(since) {
			return ""
		}
	}
	return "no task started on host " + host
}

// startedCalls returns the number of calls that the backend server of a host has
// started.
func startedCalls(ctx context.Context, ts *testscript.TestScript, host string) int {
	var ledger struct {
		Counts map[string]int `json:"counts"`
	}
	ts.Check(getJSON(ctx, "http://"+readSettings(ts, "runner-"+host).Dump+"/dump", &ledger))
	n := 0
	for _, count := range ledger.Counts {
		n += count
	}
	return n
}

func offerCalls(ctx context.Context, c *berylclient.Client) {
	for ctx.Err() == nil {
		_, _ = c.Call(ctx, berylclient.Call{Class: "quick", Timeout: time.Second, Body: []byte("bloom")})
		time.Sleep(_pollInterval / 2)
	}
}

func offerJobs(ctx context.Context, c *berylclient.Client) {
	for ctx.Err() == nil {
		job, err := c.Submit(ctx, "", berylapi.Submission{Class: "urgent", Tasks: 1, Shape: berylshape.Shape{Cores: 40}, Payload: "run=100ms"})
		for err == nil && !job.Phase.Ended() && ctx.Err() == nil {
			time.Sleep(_pollInterval)
			var next beryljob.State
			if next, err = c.Job(ctx, job.ID); err == nil {
				job = next
			} else if ctx.Err() == nil {
				err = nil
			}
		}
		time.Sleep(_pollInterval)
	}
}

// clientAt returns a client of an entry.
func clientAt(ts *testscript.TestScript, entry string) *berylclient.Client {
	c := client(ts)
	c.Base = "http://" + ts.Getenv("HTTP"+strings.TrimPrefix(entry, "entry-"))
	return c
}

const (
	// _configBound is the time after the acceptance of a change within which every
	// process must have it.
	_configBound = 5 * time.Second
	// _raceKey is the configuration key that two operators change concurrently.
	_raceKey = "classes/race"
)

// publish publishes a change that adds a class, stores its offset and waits until
// it is in force.
func publish(ts *testscript.TestScript, _ bool, args []string) {
	operator := clientAt(ts, "entry-2")
	operator.Token = "operator-token"
	var offset int64
	poll(ts, _waitTimeout, func(ctx context.Context) string {
		cfg, err := operator.Config(ctx)
		ts.Check(err)
		set := map[string]json.RawMessage{"classes/" + args[0]: json.RawMessage(`{"target": {}}`)}
		offset, err = operator.Publish(ctx, berylapi.Change{Base: &cfg.Offset, By: args[0], Set: set})
		if berylerror.Of(err) == berylerror.Unavailable {
			return err.Error()
		}
		ts.Check(err)
		return ""
	})
	stateOf(ts).publishedOffset = offset
	stateOf(ts).publishedAt = time.Now()
	inforce(ts, false, nil)
}

// inforce waits until every entry and agent has the last change. It fails if a
// replaced process reports an older configuration, or if one does not have the
// change within the bound. The bound counts from the acceptance of the change; for
// a replaced process, or once the change has been in force, it counts from the
// first answer of the process.
func inforce(ts *testscript.TestScript, _ bool, _ []string) {
	s := stateOf(ts)
	deadlines := map[string]time.Time{}
	poll(ts, _readyTimeout, func(ctx context.Context) string {
		problem := ""
		for _, role := range []string{"entry", "agent"} {
			for i := 1; i <= 3; i++ {
				name := fmt.Sprintf("%s-%d", role, i)
				var state struct {
					Offset int64 `json:"offset"`
				}
				if err := getJSON(ctx, "http://"+readSettings(ts, name).Dump+"/dump", &state); err != nil {
					problem = name + ": " + err.Error()
					continue
				}
				if deadlines[name].IsZero() {
					deadlines[name] = time.Now().Add(_configBound)
					if !s.publishedAt.IsZero() && !s.replaced[name] {
						deadlines[name] = s.publishedAt.Add(_configBound)
					}
				}
				if state.Offset >= s.publishedOffset {
					continue
				}
				problem = fmt.Sprintf("%s has version %d of %d", name, state.Offset, s.publishedOffset)
				if s.replaced[name] && state.Offset != 0 {
					ts.Fatalf("%s went back to version %d of %d", name, state.Offset, s.publishedOffset)
				}
				if time.Now().After(deadlines[name]) {
					ts.Fatalf("%v after the bound: %s", time.Since(deadlines[name]), problem)
				}
			}
		}
		return problem
	})
	clear(s.replaced)
	s.publishedAt = time.Time{}
}

// race publishes conflicting changes of two operators through different entries,
// in several rounds whose timing a seed determines. It fails unless exactly one
// operator wins, the other is told of the conflict, and the winner's change is in
// force everywhere within the bound.
func race(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	rounds, err := strconv.Atoi(args[1])
	ts.Check(err)
	rnd := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		order := rnd.Perm(3)
		first := raceRound(ts, round, order[:2], time.Duration(rnd.Int64N(int64(10*time.Millisecond))))
		ts.Logf("seed %d, round %d: entries %v, winner %d", seed, round, order[:2], first)
	}
}

func raceRound(ts *testscript.TestScript, round int, entries []int, delay time.Duration) int {
	ctx := context.Background()
	operators := make([]*berylclient.Client, len(entries))
	for i, n := range entries {
		operators[i] = clientAt(ts, strconv.Itoa(n+1))
		operators[i].Token = "operator-token"
	}
	cfg, err := operators[0].Config(ctx)
	ts.Check(err)
	type result struct {
		offset int64
		err    error
	}
	results := make([]result, len(entries))
	var wg sync.WaitGroup
	for i, operator := range operators {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * delay)
			set := map[string]json.RawMessage{_raceKey: raceValue(round, i)}
			results[i].offset, results[i].err = operator.Publish(ctx, berylapi.Change{Base: &cfg.Offset, By: strconv.Itoa(i), Set: set})
		})
	}
	wg.Wait()
	winner := -1
	for i, r := range results {
		switch {
		case r.err == nil && winner < 0:
			winner = i
		case r.err == nil:
			ts.Fatalf("round %d: both changes were accepted", round)
		case berylerror.Of(r.err) != berylerror.Conflict:
			ts.Fatalf("round %d: the losing change failed with %v, want a conflict", round, r.err)
		}
	}
	if winner < 0 {
		ts.Fatalf("round %d: no change was accepted", round)
	}
	s := stateOf(ts)
	s.publishedOffset, s.publishedAt = results[winner].offset, time.Now()
	inforce(ts, false, nil)
	var want berylconfig.Class
	ts.Check(json.Unmarshal(raceValue(round, winner), &want))
	for i := 1; i <= 3; i++ {
		operator := clientAt(ts, strconv.Itoa(i))
		operator.Token = "operator-token"
		got, err := operator.Config(ctx)
		ts.Check(err)
		if got.Classes["race"] != want {
			ts.Fatalf("round %d: entry %d has %+v, want %+v", round, i, got.Classes["race"], want)
		}
	}
	return winner
}

func raceValue(round, operator int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"target": {"within": "%dms"}}`, 1000+2*round+operator))
}

const (
	// _maxAppends is the number of appends that the platform's log accepts per
	// second.
	_maxAppends = 300
	// _keys is the number of idempotency keys of the calls that are sent at once.
	_keys = 100
)

// outage takes the log down for a duration. It fails unless, throughout the outage,
// idempotent calls are answered, keyed calls and jobs are refused, the running gang
// continues and no other gang starts. The arguments are the duration and the job of
// the gang that is running.
func outage(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	ctx := context.Background()
	faults(ts, false, []string{`{"down": true}`})
	end := time.Now().Add(d)
	entries := []*berylclient.Client{clientAt(ts, "1"), clientAt(ts, "2"), clientAt(ts, "3")}
	for i := 1; i <= 3; i++ {
		poll(ts, _waitTimeout, func(ctx context.Context) string {
			var s struct {
				Outage bool `json:"outage"`
			}
			err := getJSON(ctx, "http://"+readSettings(ts, fmt.Sprintf("entry-%d", i)).Dump+"/dump", &s)
			if err != nil || !s.Outage {
				return fmt.Sprintf("entry-%d does not report an outage: %v", i, err)
			}
			return ""
		})
	}
	served := 0
	for time.Now().Before(end) {
		c := entries[served%len(entries)]
		if _, err := c.Call(ctx, berylclient.Call{Class: "quick", Body: []byte("bloom")}); err != nil {
			ts.Fatalf("idempotent call %d in the outage: %v", served, err)
		}
		key := strconv.Itoa(served % _keys)
		if _, err := c.Call(ctx, berylclient.Call{Class: "once", Key: key, Body: []byte("bloom")}); berylerror.Of(err) != berylerror.NotRun {
			ts.Fatalf("keyed call in the outage: %v, want a refusal as not run", err)
		}
		if n := runningTasks(workerTasks(ctx, ts), args[1]); n != 3 {
			ts.Fatalf("%d tasks of the running gang remain, want 3", n)
		}
		if served%20 == 0 {
			job, err := c.Submit(ctx, "waits", berylapi.Submission{Class: "once", Tasks: 3, Shape: berylshape.Shape{Accelerators: 5}, Payload: "run=1s"})
			if err == nil {
				ts.Fatalf("job %s was accepted in the outage", job.ID)
			}
		}
		served++
		time.Sleep(_pollInterval)
	}
	for _, task := range workerTasks(ctx, ts) {
		if task.Labels["job"] != args[1] {
			ts.Fatalf("task %s of another gang started in the outage", task.ID)
		}
	}
	ts.Logf("%d idempotent calls were served and as many keyed calls refused in %v", served, d)
	faults(ts, false, []string{`{}`})
}

// keyed sends calls with the same idempotency keys to every entry concurrently,
// retries each until it is answered, and fails unless the call of every key ran
// exactly once. The argument is a prefix of the keys.
func keyed(ts *testscript.TestScript, _ bool, args []string) {
	const entries = 3
	ctx, cancel := context.WithTimeout(context.Background(), _waitTimeout)
	defer cancel()
	ids := make([][entries]string, _keys)
	var wg sync.WaitGroup
	for i := range _keys {
		for j := range entries {
			c := clientAt(ts, strconv.Itoa(j+1))
			wg.Go(func() {
				for ids[i][j] == "" && ctx.Err() == nil {
					answer, err := c.Call(ctx, berylclient.Call{Class: "once", Key: args[0] + strconv.Itoa(i), Body: []byte("bloom")})
					if err == nil {
						ids[i][j] = answer.ID
						return
					}
					time.Sleep(_pollInterval)
				}
			})
		}
	}
	wg.Wait()
	counts := map[string]int{}
	for i := 1; i <= 3; i++ {
		var ledger struct {
			Counts map[string]int `json:"counts"`
		}
		ts.Check(getJSON(context.Background(), "http://"+readSettings(ts, fmt.Sprintf("runner-%d", i)).Dump+"/dump", &ledger))
		for id, n := range ledger.Counts {
			counts[id] += n
			if n > 1 {
				ts.Fatalf("call %s ran %d times", id, n)
			}
		}
	}
	for i := range ids {
		for j := range ids[i] {
			if ids[i][j] != ids[i][0] || counts[ids[i][j]] != 1 {
				ts.Fatalf("key %d: call ids %v, of which %q ran %d times, want one id that ran once", i, ids[i], ids[i][j], counts[ids[i][j]])
			}
		}
	}
}

// appends fails if the log received more append requests in any second than it
// accepts.
func appends(ts *testscript.TestScript, _ bool, _ []string) {
	var s struct {
		Log struct {
			Bind string `json:"bind"`
		} `json:"log"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("log.hujson")), &s))
	var stats berylstandlog.Stats
	ts.Check(getJSON(context.Background(), "http://"+s.Log.Bind+"/stats", &stats))
	ts.Logf("%d appends with %d records, at most %d in one second", stats.Appends, stats.Records, stats.Peak)
	if stats.Peak > _maxAppends {
		ts.Fatalf("%d appends in one second, limit %d", stats.Peak, _maxAppends)
	}
}
