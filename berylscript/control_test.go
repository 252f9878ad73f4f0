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

// _endLimit bounds the wait for the end of jobs after a failure.
const _endLimit = 55 * time.Second

// TestControl runs the scripts in testdata/control, which kill and freeze
// processes and check the control invariants. Beside the commands of the
// package, a script has:
//
//	start NAME...        starts processes; without a name, all
//	signal SIGNAL NAME...
//	                     sends KILL, STOP or CONT to processes of the script
//	leader               sets $LEADER to the leading entry and
//	                     $BERYLGLADE_ENTRY to another one
//	deposed NAME         waits until an entry follows another leader
//	roles JOB            waits until every part of a job runs and sets $ANCHOR
//	                     and $MEMBER to agents of its gang
//	moment SEED LIMIT    waits for a time below the limit chosen by a seed, to
//	                     inject a failure at that moment
//	gangs BOUND JOB...   waits until jobs have ended or run whole, and fails if a part of a
//	                     gang ran longer than the bound without the others or
//	                     a job that must not run twice did
//	halted JOB           waits until no task of a job runs
//	ended JOB...         waits until jobs have ended
//	attempts N JOB       fails unless N attempts of a job ran tasks
//	faults JSON          replaces the faults of the log
//	out HOST DOMAIN FROZEN ENTRY...
//	                     see out
//	publish NAME         adds a class and waits until it is in force
//	inforce              see inforce
//	race SEED ROUNDS     see race
//	outage DURATION JOB  see outage
//	keyed PREFIX         see keyed
//	appends              see appends
func TestControl(t *testing.T) {
	h := newHelper(_systems)
	h.run(t, "testdata/control", func(env *testscript.Env) {
		s := &system{running: map[string]*child{}, replaced: map[string]bool{}}
		env.Values[systemKey{}] = s
		env.Defer(s.kill)
	}, commands{
		"fleet":    h.fleet,
		"ready":    h.ready,
		"until":    h.until,
		"same":     h.same,
		"code":     h.code,
		"set":      h.set,
		"start":    start,
		"signal":   signal,
		"leader":   leader,
		"deposed":  deposed,
		"roles":    roles,
		"moment":   moment,
		"gangs":    gangs,
		"halted":   halted,
		"ended":    ended,
		"attempts": attempts,
		"faults":   faults,
		"out":      out,
		"publish":  publish,
		"inforce":  inforce,
		"race":     race,
		"outage":   outage,
		"keyed":    keyed,
		"appends":  appends,
	})
}

type systemKey struct{}

// system has the processes that a script has started.
type system struct {
	running map[string]*child
	// replaced are the processes that were killed.
	replaced map[string]bool
	// offset is that of the last change, accepted the time of its acceptance
	// until it is in force.
	offset   int64
	accepted time.Time
}

func systemOf(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

// kill ends the processes.
func (s *system) kill() {
	for _, c := range s.running {
		c.kill()
	}
}

// report describes each process.
func (s *system) report() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(s.running)) {
		b.WriteString(s.running[name].report())
	}
	return b.String()
}

func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		args = names(ts)
	}
	for _, name := range args {
		systemOf(ts).running[name] = spawn(ts, name)
	}
}

func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	s := systemOf(ts)
	for _, name := range args[1:] {
		c := s.running[name]
		if c == nil {
			ts.Fatalf("%s does not run", name)
		}
		c.send(ts, signals[args[0]])
		if args[0] == "KILL" {
			<-c.ended
			delete(s.running, name)
			s.replaced[name] = true
		}
	}
}

// poll repeats f until it returns an empty text, and fails with the last one.
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
			// A request that the limit has cut off says nothing.
			ts.Fatalf("after %v: %s\n%s", limit, last, systemOf(ts).report())
		}
		last = problem
		time.Sleep(_poll)
	}
}

// decode reads JSON from a process. A frozen process answers nothing, so each
// request has a short limit.
func decode(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_, body, err := get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(body), v)
}

// entryState is the part of an entry's dump that the commands need.
type entryState struct {
	Term    int64 `json:"term"`
	Leading bool  `json:"leading"`
}

func stateOf(ctx context.Context, ts *testscript.TestScript, name string) (entryState, error) {
	var s entryState
	err := decode(ctx, "http://"+load(ts, name).Dump+"/dump", &s)
	return s, err
}

func leader(ts *testscript.TestScript, _ bool, _ []string) {
	poll(ts, _untilLimit, func(ctx context.Context) string {
		for i := 1; i <= 3; i++ {
			name := fmt.Sprintf("entry-%d", i)
			s, err := stateOf(ctx, ts, name)
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
	poll(ts, _untilLimit, func(ctx context.Context) string {
		own, err := stateOf(ctx, ts, args[0])
		if err != nil {
			return err.Error()
		}
		if own.Leading {
			return args[0] + " leads"
		}
		for i := 1; i <= 3; i++ {
			s, err := stateOf(ctx, ts, fmt.Sprintf("entry-%d", i))
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
	poll(ts, _untilLimit, func(ctx context.Context) string {
		job, err := client(ts).Job(ctx, args[0])
		if err != nil {
			return err.Error()
		}
		parts := runningTasks(ledgers(ctx, ts), args[0])
		if len(job.Members) < 3 || parts != job.Tasks {
			return fmt.Sprintf("%d tasks run, %d members, phase %v, %s", parts, len(job.Members), job.Phase, job.Reason)
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
	ts.Logf("seed %d: failure after %v", seed, d)
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
		ts.Fatalf("faults: %s", body)
	}
}

// record is a task in the ledger of one worker.
type record struct {
	berylstandworker.Record
	Worker string
}

// ledgers returns the tasks of all workers.
func ledgers(ctx context.Context, ts *testscript.TestScript) []record {
	var all []record
	for i := 1; i <= 3; i++ {
		var s struct {
			Worker struct {
				Bind string `json:"bind"`
			} `json:"worker"`
		}
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(fmt.Sprintf("worker-%d.hujson", i))), &s))
		var records []berylstandworker.Record
		ts.Check(decode(ctx, "http://"+s.Worker.Bind+"/ledger", &records))
		for j := range records {
			all = append(all, record{Record: records[j], Worker: fmt.Sprintf("worker-%d", i)})
		}
	}
	return all
}

// tasksByAttempt returns the tasks of a job by attempt.
func tasksByAttempt(all []record, job string) map[string][]record {
	list := map[string][]record{}
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
	poll(ts, _endLimit, func(ctx context.Context) string {
		all := ledgers(ctx, ts)
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
	all := ledgers(context.Background(), ts)
	for _, id := range args[1:] {
		list := tasksByAttempt(all, id)
		job := states[id]
		for attempt, tasks := range list {
			ts.Logf("job %s %s, %v: attempt %s ran %d tasks, partial for %v", id, job.Class, job.Phase, attempt, len(tasks), longestPartial(tasks))
		}
		if len(list) > 1 && job.Class == "once" {
			ts.Fatalf("%d attempts of job %s ran", len(list), id)
		}
		if job.Class != "once" && job.Phase.Ended() && job.Phase != beryljob.Done {
			ts.Fatalf("job %s is %v: %s", id, job.Phase, job.Reason)
		}
	}
}

func checkPartial(ts *testscript.TestScript, all []record, id string, bound time.Duration) {
	for attempt, tasks := range tasksByAttempt(all, id) {
		if alone := longestPartial(tasks); alone > bound {
			ts.Fatalf("attempt %s of job %s ran partially for %v, bound %v", attempt, id, alone, bound)
		}
	}
}

// longestPartial returns the longest time without interruption in which some
// but not all of the tasks of one attempt ran. Each gang has three.
func longestPartial(tasks []record) time.Duration {
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
		was := running > 0 && running < want
		running += c.n
		is := running > 0 && running < want
		if !was && is {
			since = c.at
		}
		if was {
			longest = max(longest, c.at.Sub(since))
		}
	}
	return longest
}

func halted(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, _untilLimit, func(ctx context.Context) string {
		if n := runningTasks(ledgers(ctx, ts), args[0]); n > 0 {
			return fmt.Sprintf("%d tasks of job %s run", n, args[0])
		}
		return ""
	})
}

func ended(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, _endLimit, func(ctx context.Context) string {
		for _, id := range args {
			if job, err := client(ts).Job(ctx, id); err != nil || !job.Phase.Ended() {
				return fmt.Sprintf("job %s is %v: %s %v", id, job.Phase, job.Reason, err)
			}
		}
		return ""
	})
}

func runningTasks(all []record, job string) int {
	n := 0
	for _, task := range all {
		if task.Labels["job"] == job && task.End.IsZero() {
			n++
		}
	}
	return n
}

func attempts(ts *testscript.TestScript, _ bool, args []string) {
	n := len(tasksByAttempt(ledgers(context.Background(), ts), args[1]))
	if strconv.Itoa(n) != args[0] {
		ts.Fatalf("%d attempts of job %s ran, want %s", n, args[1], args[0])
	}
}

const (
	// _outBound is the time after the acceptance of a change from which nothing
	// starts in a failure domain that is out.
	_outBound = 5 * time.Second
	// _outWatch is how long starts are watched after that.
	_outWatch = 5 * time.Second
	// _callers is the number of concurrent calls, _submitters that of jobs. Each
	// job fills more than half of a host.
	_callers    = 6
	_submitters = 6
)

// out offers calls and jobs, takes the failure domain of host N out and checks
// that nothing starts there after the bound. Its arguments are N, the failure
// domain, the process to freeze before the publication or "none", and the
// entries that serve the load. Then it brings the failure domain back.
func out(ts *testscript.TestScript, _ bool, args []string) {
	host, domain, frozen := args[0], args[1], args[2]
	ctx, cancel := context.WithTimeout(context.Background(), _endLimit)
	defer cancel()
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	for i := range _callers {
		load.Go(func() { offerCalls(ctx, clientAt(ts, args[3+i%len(args[3:])])) })
	}
	for i := range _submitters {
		load.Go(func() { offerJobs(ctx, clientAt(ts, args[3+i%len(args[3:])])) })
	}
	poll(ts, _untilLimit, func(ctx context.Context) string { return worked(ctx, ts, host, 0, time.Time{}) })
	if frozen != "none" {
		signal(ts, false, []string{"STOP", frozen})
	}
	operator := clientAt(ts, args[3])
	operator.Token = "operator-token"
	poll(ts, _untilLimit, func(ctx context.Context) string {
		if _, err := operator.TakeDomainOut(ctx, domain, berylapi.OutRequest{}); err != nil {
			return err.Error()
		}
		return ""
	})
	accepted := time.Now()
	time.Sleep(time.Until(accepted.Add(_outBound)))
	calls := runs(ctx, ts, host)
	if strings.HasPrefix(frozen, "agent") {
		signal(ts, false, []string{"CONT", frozen})
	}
	time.Sleep(time.Until(accepted.Add(_outBound + _outWatch)))
	if n := runs(ctx, ts, host) - calls; n > 0 {
		ts.Fatalf("%d calls started on host %s later than %v after it was out", n, host, _outBound)
	}
	elsewhere := 0
	poll(ts, _untilLimit, func(ctx context.Context) string {
		elsewhere = 0
		for _, task := range ledgers(ctx, ts) {
			if task.Start.Before(accepted.Add(_outBound)) {
				continue
			}
			if task.Worker == "worker-"+host {
				ts.Fatalf("task %s started on host %s %v after it was out", task.ID, host, task.Start.Sub(accepted))
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
	poll(ts, _untilLimit, func(ctx context.Context) string { return worked(ctx, ts, host, calls, back) })
	ts.Logf("host %s: %d calls before the bound, %d tasks elsewhere after it, work again %v after back", host, calls, elsewhere, time.Since(back))
}

// worked returns a text unless more than some calls ran on a host and a task
// started there after a time.
func worked(ctx context.Context, ts *testscript.TestScript, host string, calls int, since time.Time) string {
	if n := runs(ctx, ts, host); n <= calls {
		return fmt.Sprintf("%d calls ran on host %s", n, host)
	}
	for _, task := range ledgers(ctx, ts) {
		if task.Worker == "worker-"+host && task.Start.After(since) {
			return ""
		}
	}
	return "no task started on host " + host
}

// runs returns the number of calls that a backend server has started.
func runs(ctx context.Context, ts *testscript.TestScript, host string) int {
	var ledger struct {
		Counts map[string]int `json:"counts"`
	}
	ts.Check(decode(ctx, "http://"+load(ts, "runner-"+host).Dump+"/dump", &ledger))
	n := 0
	for _, count := range ledger.Counts {
		n += count
	}
	return n
}

func offerCalls(ctx context.Context, c *berylclient.Client) {
	for ctx.Err() == nil {
		_, _ = c.Call(ctx, berylclient.Call{Class: "quick", Timeout: time.Second, Body: []byte("bloom")})
		time.Sleep(_poll / 2)
	}
}

func offerJobs(ctx context.Context, c *berylclient.Client) {
	for ctx.Err() == nil {
		job, err := c.Submit(ctx, "", berylapi.Submission{Class: "urgent", Tasks: 1, Shape: berylshape.Shape{Cores: 40}, Payload: "run=100ms"})
		for err == nil && !job.Phase.Ended() && ctx.Err() == nil {
			time.Sleep(_poll)
			var next beryljob.State
			if next, err = c.Job(ctx, job.ID); err == nil {
				job = next
			} else if ctx.Err() == nil {
				err = nil
			}
		}
		time.Sleep(_poll)
	}
}

// clientAt returns a client of an entry.
func clientAt(ts *testscript.TestScript, entry string) *berylclient.Client {
	c := client(ts)
	c.Base = "http://" + ts.Getenv("HTTP"+strings.TrimPrefix(entry, "entry-"))
	return c
}

const (
	// _forceBound is the time from the acceptance of a change until every
	// process has it.
	_forceBound = 5 * time.Second
	// _race is the configuration key that operators change at the same time.
	_race = "classes/race"
)

// publish publishes a change with a target that no earlier change had, and
// remembers its offset.
func publish(ts *testscript.TestScript, _ bool, args []string) {
	operator := clientAt(ts, "entry-2")
	operator.Token = "operator-token"
	var offset int64
	poll(ts, _untilLimit, func(ctx context.Context) string {
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
	systemOf(ts).offset = offset
	systemOf(ts).accepted = time.Now()
	inforce(ts, false, nil)
}

// inforce waits until every process has the remembered change, and fails if one
// has an older configuration or the bound passes. The bound of a process that
// was started later counts from the first answer of its state.
func inforce(ts *testscript.TestScript, _ bool, _ []string) {
	s := systemOf(ts)
	late := map[string]time.Time{}
	poll(ts, _readyLimit, func(ctx context.Context) string {
		problem := ""
		for _, role := range []string{"entry", "agent"} {
			for i := 1; i <= 3; i++ {
				name := fmt.Sprintf("%s-%d", role, i)
				var state struct {
					Offset int64 `json:"offset"`
				}
				if err := decode(ctx, "http://"+load(ts, name).Dump+"/dump", &state); err != nil {
					problem = name + ": " + err.Error()
					continue
				}
				if late[name].IsZero() {
					late[name] = time.Now().Add(_forceBound)
					if !s.accepted.IsZero() && !s.replaced[name] {
						late[name] = s.accepted.Add(_forceBound)
					}
				}
				if state.Offset >= s.offset {
					continue
				}
				problem = fmt.Sprintf("%s has version %d of %d", name, state.Offset, s.offset)
				if s.replaced[name] && state.Offset != 0 {
					ts.Fatalf("%s went back to version %d of %d", name, state.Offset, s.offset)
				}
				if time.Now().After(late[name]) {
					ts.Fatalf("%v after the bound %s", time.Since(late[name]), problem)
				}
			}
		}
		return problem
	})
	clear(s.replaced)
	s.accepted = time.Time{}
}

// race lets two operators publish conflicting changes through different entries
// at moments chosen by a seed.
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

func raceRound(ts *testscript.TestScript, round int, entries []int, apart time.Duration) int {
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
			time.Sleep(time.Duration(i) * apart)
			set := map[string]json.RawMessage{_race: raceValue(round, i)}
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
			ts.Fatalf("round %d: both operators were told that they won", round)
		case berylerror.Of(r.err) != berylerror.Conflict:
			ts.Fatalf("round %d: the loser was told %v", round, r.err)
		}
	}
	if winner < 0 {
		ts.Fatalf("round %d: nobody won", round)
	}
	s := systemOf(ts)
	s.offset, s.accepted = results[winner].offset, time.Now()
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
	// _maxAppends is the number of appends that the platform accepts in one
	// second.
	_maxAppends = 300
	// _keys is the number of keyed calls that arrive at once.
	_keys = 100
)

// outage checks what is served and refused during an outage of the log, and for
// how long, and that nothing has run twice after its end. The arguments are a
// duration and a job whose gang runs when the outage begins.
func outage(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	ctx := context.Background()
	faults(ts, false, []string{`{"down": true}`})
	end := time.Now().Add(d)
	entries := []*berylclient.Client{clientAt(ts, "1"), clientAt(ts, "2"), clientAt(ts, "3")}
	for i := 1; i <= 3; i++ {
		poll(ts, _untilLimit, func(ctx context.Context) string {
			var s struct {
				Outage bool `json:"outage"`
			}
			err := decode(ctx, "http://"+load(ts, fmt.Sprintf("entry-%d", i)).Dump+"/dump", &s)
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
		if n := runningTasks(ledgers(ctx, ts), args[1]); n != 3 {
			ts.Fatalf("%d tasks of the running gang are left", n)
		}
		if served%20 == 0 {
			job, err := c.Submit(ctx, "waits", berylapi.Submission{Class: "once", Tasks: 3, Shape: berylshape.Shape{Accelerators: 5}, Payload: "run=1s"})
			if err == nil {
				ts.Fatalf("job %s was accepted in the outage", job.ID)
			}
		}
		served++
		time.Sleep(_poll)
	}
	for _, task := range ledgers(ctx, ts) {
		if task.Labels["job"] != args[1] {
			ts.Fatalf("task %s of another gang started in the outage", task.ID)
		}
	}
	ts.Logf("%d idempotent calls were served and as many keyed calls refused in %v", served, d)
	faults(ts, false, []string{`{}`})
}

// keyed sends calls with the same keys to every entry at once, repeats them until
// each is answered, and fails unless every key has run once. The argument is a
// prefix of the keys.
func keyed(ts *testscript.TestScript, _ bool, args []string) {
	const entries = 3
	ctx, cancel := context.WithTimeout(context.Background(), _untilLimit)
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
					time.Sleep(_poll)
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
		ts.Check(decode(context.Background(), "http://"+load(ts, fmt.Sprintf("runner-%d", i)).Dump+"/dump", &ledger))
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
				ts.Fatalf("key %d: calls %v, of which %q ran %d times", i, ids[i], ids[i][j], counts[ids[i][j]])
			}
		}
	}
}

// appends fails if the log was asked for more appends in any second than it
// accepts.
func appends(ts *testscript.TestScript, _ bool, _ []string) {
	var s struct {
		Log struct {
			Bind string `json:"bind"`
		} `json:"log"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("log.hujson")), &s))
	var stats berylstandlog.Stats
	ts.Check(decode(context.Background(), "http://"+s.Log.Bind+"/stats", &stats))
	ts.Logf("%d appends with %d records, at most %d in one second", stats.Appends, stats.Records, stats.Peak)
	if stats.Peak > _maxAppends {
		ts.Fatalf("%d appends in one second, limit %d", stats.Peak, _maxAppends)
	}
}
