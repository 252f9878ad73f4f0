// Package berylscript has end-to-end tests that run the daemons and stand-ins as
// separate processes on loopback. Each test is a testscript file in testdata:
// TestScripts runs those for normal operation, TestControl those that inject
// faults around jobs and configuration changes, and TestFaults those that inject
// faults around calls.
//
// In addition to the commands of testscript, the scripts of TestScripts have:
//
//	fleet            reserves ports, writes the settings file of every process
//	                 of the development system to the script's directory, and
//	                 sets $HTTP1 to $HTTP3 to the entries' HTTP addresses and
//	                 $DUMP_NAME to the dump address of the process NAME, without
//	                 the hyphen; it starts no process
//	ready [NAME...]  waits until the named processes, or all, report that they
//	                 are ready
//	until PATTERN COMMAND...
//	                 repeats a command until it succeeds and its output matches
//	code N COMMAND... fails unless a command exits with code N
//	set NAME FILE    sets an environment variable to the content of a file
//	busy             waits until a backend server runs a call
//	closed ADDRESS   waits until nothing listens on an address
//	same COMMAND...  runs a command against every entry and fails unless all
//	                 outputs are equal
package berylscript

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"berylglade/berylcli"
)

const (
	// _readyTimeout bounds the start of a process, which takes seconds with the
	// race detector on a busy machine.
	_readyTimeout = 30 * time.Second
	// _waitTimeout bounds each wait for a condition.
	_waitTimeout  = 30 * time.Second
	_pollInterval = 50 * time.Millisecond
	// _maxSystems is the maximum number of systems that run at the same time. A
	// system has 13 processes.
	_maxSystems = 3
	// _portsPerSystem is the number of ports reserved for one system.
	_portsPerSystem = 80
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylglade": func() { os.Exit(berylcli.Main()) },
	})
}

func TestScripts(t *testing.T) {
	h := newHarness(_maxSystems)
	h.run(t, "testdata", func(*testscript.Env) {}, commands{
		"fleet":  h.fleet,
		"ready":  h.ready,
		"until":  h.until,
		"same":   h.same,
		"code":   h.code,
		"set":    h.set,
		"busy":   h.busy,
		"closed": h.closed,
	})
}

// commands maps the names of script commands to their functions.
type commands map[string]func(ts *testscript.TestScript, neg bool, args []string)

// run runs the scripts in a directory with the credentials of the development
// system's client account and operator. setup prepares what else a group of
// scripts needs.
func (h *harness) run(t *testing.T, dir string, setup func(*testscript.Env), cmds commands) {
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			h.slots <- struct{}{}
			env.Defer(func() { <-h.slots })
			env.Setenv("BERYLGLADE_ACCOUNT", "demo")
			env.Setenv("BERYLGLADE_TOKEN", "demo-token")
			env.Setenv("BERYLGLADE_OPERATOR_TOKEN", "operator-token")
			setup(env)
			return nil
		},
		Cmds: cmds,
	})
}

// newHarness returns a harness that runs at most the given number of systems at
// the same time.
func newHarness(systems int) *harness {
	h := &harness{slots: make(chan struct{}, systems)}
	h.nextBlock.Store(int64(rand.IntN(100)))
	return h
}

// harness implements the commands that all groups of scripts share.
type harness struct {
	// slots is a semaphore that bounds the number of concurrent scripts.
	slots chan struct{}
	// nextBlock is the index of the next block of ports.
	nextBlock atomic.Int64
}

// reservePorts returns the first port of a block in which every port is free. The
// blocks lie below the ephemeral port range, so that no outgoing connection takes
// a reserved port before its process starts.
func (h *harness) reservePorts() int {
	const first, blocks = 20000, 140
	for {
		base := first + int(h.nextBlock.Add(1)%blocks)*_portsPerSystem
		if portsFree(base) {
			return base
		}
	}
}

func portsFree(base int) bool {
	for port := base; port < base+_portsPerSystem; port++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}

// settings is the part of a settings file that the harness needs.
type settings struct {
	Dump  string `json:"dump"`
	Entry struct {
		HTTP string `json:"http"`
	} `json:"entry"`
}

func (h *harness) fleet(ts *testscript.TestScript, _ bool, _ []string) {
	port := h.reservePorts()
	ts.Check(ts.Exec("berylglade", "dev", "--port", strconv.Itoa(port), "--write", "."))
	for _, name := range processNames(ts) {
		s := readSettings(ts, name)
		ts.Setenv("DUMP_"+strings.ReplaceAll(name, "-", ""), s.Dump)
		if i, ok := strings.CutPrefix(name, "entry-"); ok {
			ts.Setenv("HTTP"+i, s.Entry.HTTP)
		}
	}
	ts.Setenv("BERYLGLADE_ENTRY", ts.Getenv("HTTP1"))
}

// processNames returns the names of the processes in start order.
func processNames(ts *testscript.TestScript) []string {
	var list []string
	for _, role := range []string{"log", "entry-*", "worker-*", "runner-*", "agent-*"} {
		files, err := filepath.Glob(ts.MkAbs(role + ".hujson"))
		ts.Check(err)
		for _, file := range files {
			list = append(list, strings.TrimSuffix(filepath.Base(file), ".hujson"))
		}
	}
	return list
}

func readSettings(ts *testscript.TestScript, name string) settings {
	var s settings
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(name+".hujson")), &s))
	return s
}

func (h *harness) ready(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		args = processNames(ts)
	}
	for _, name := range args {
		waitReady(ts, name, readSettings(ts, name).Dump)
	}
}

func waitReady(ts *testscript.TestScript, name, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), _readyTimeout)
	defer cancel()
	var last string
	for ctx.Err() == nil {
		status, body, err := get(ctx, "http://"+addr+"/readyz")
		if status == http.StatusOK {
			return
		}
		if err == nil || ctx.Err() == nil {
			last = fmt.Sprintf("%d %s %v", status, body, err)
		}
		time.Sleep(_pollInterval)
	}
	ts.Fatalf("%s is not ready after %v: %s", name, _readyTimeout, last)
}

func get(ctx context.Context, url string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (h *harness) until(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: until PATTERN COMMAND...")
	}
	pattern := regexp.MustCompile("(?m)" + args[0])
	end := time.Now().Add(_waitTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout")
		if err == nil && pattern.MatchString(out) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("no output matches %q after %v; last error %v, output:\n%s%s", args[0], _waitTimeout, err, out, ts.ReadFile("stderr"))
		}
		time.Sleep(_pollInterval)
	}
}

func (h *harness) same(ts *testscript.TestScript, _ bool, args []string) {
	var want string
	for i := 1; i <= 3; i++ {
		addr := ts.Getenv(fmt.Sprintf("HTTP%d", i))
		ts.Check(ts.Exec(args[0], append(args[1:], "--entry", addr)...))
		out := ts.ReadFile("stdout")
		if i > 1 && out != want {
			ts.Fatalf("entry %d answers\n%s\nentry 1 answers\n%s", i, out, want)
		}
		want = out
	}
}

func (h *harness) code(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var exit interface{ ExitCode() int }
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d (%v), want %s:\n%s", code, err, args[0], ts.ReadFile("stderr"))
	}
}

func (h *harness) set(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

func (h *harness) busy(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), _waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for i := 1; i <= 3; i++ {
			_, body, err := get(ctx, "http://"+ts.Getenv(fmt.Sprintf("DUMP_runner%d", i))+"/dump")
			var ledger struct {
				Running int `json:"running"`
			}
			if err == nil && json.Unmarshal([]byte(body), &ledger) == nil && ledger.Running > 0 {
				return
			}
		}
		time.Sleep(_pollInterval)
	}
	ts.Fatalf("no backend server runs a call after %v", _waitTimeout)
}

func (h *harness) closed(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(_waitTimeout)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", args[0], time.Second)
		if err != nil {
			return
		}
		ts.Check(conn.Close())
		time.Sleep(_pollInterval)
	}
	ts.Fatalf("%s accepts connections after %v", args[0], _waitTimeout)
}
