// Package berylscript has scenarios that run the roles as separate processes on
// loopback. The scripts are in testdata.
//
// Beside the commands of testscript, a script has:
//
//	fleet            reserves ports, writes the settings of every process of
//	                 the development system to the script's directory, and sets
//	                 $HTTP1 to $HTTP3 and $DUMP_ with the name of each process
//	ready [NAME...]  waits until the named processes can serve; without a name,
//	                 until all can
//	until PATTERN COMMAND...
//	                 repeats a command until it succeeds and its output matches
//	code N COMMAND... fails unless a command has an exit code
//	set NAME FILE    sets an environment variable to the content of a file
//	busy             waits until a backend server runs a call
//	closed ADDRESS   waits until nothing listens on an address
//	same COMMAND...  runs a command against every entry and fails unless their
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
	// _readyLimit bounds the start of a process. With the race detector and a
	// busy machine a start takes seconds.
	_readyLimit = 30 * time.Second
	// _untilLimit bounds the wait for a condition.
	_untilLimit = 30 * time.Second
	_poll       = 50 * time.Millisecond
	// _systems is the number of systems that run at the same time; each has 13
	// processes.
	_systems = 3
	// _ports is the number of ports that one system uses.
	_ports = 80
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylglade": func() { os.Exit(berylcli.Main()) },
	})
}

func TestScripts(t *testing.T) {
	h := newHelper(_systems)
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

// commands are the commands of a group of scripts by name.
type commands map[string]func(ts *testscript.TestScript, neg bool, args []string)

// run runs the scripts of a folder as the development system's client account
// and operator. The setup adds what a group needs besides.
func (h *helper) run(t *testing.T, dir string, setup func(*testscript.Env), cmds commands) {
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			h.running <- struct{}{}
			env.Defer(func() { <-h.running })
			env.Setenv("BERYLGLADE_ACCOUNT", "demo")
			env.Setenv("BERYLGLADE_TOKEN", "demo-token")
			env.Setenv("BERYLGLADE_OPERATOR_TOKEN", "operator-token")
			setup(env)
			return nil
		},
		Cmds: cmds,
	})
}

// newHelper returns the commands for at most the given number of systems at one
// time.
func newHelper(systems int) *helper {
	h := &helper{running: make(chan struct{}, systems)}
	h.next.Store(int64(rand.IntN(100)))
	return h
}

// helper has the commands.
type helper struct {
	// running bounds the number of scripts at one time.
	running chan struct{}
	// next is the number of the next block of ports.
	next atomic.Int64
}

// reserve returns the first port of a block in which every port is free. Blocks
// lie below the ports of outgoing connections, so that none of those takes a
// port before its process starts.
func (h *helper) reserve() int {
	const first, blocks = 20000, 140
	for {
		base := first + int(h.next.Add(1)%blocks)*_ports
		if free(base) {
			return base
		}
	}
}

func free(base int) bool {
	for port := base; port < base+_ports; port++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}

// settings is the part of a settings file that the helper needs.
type settings struct {
	Dump  string `json:"dump"`
	Entry struct {
		HTTP string `json:"http"`
	} `json:"entry"`
}

func (h *helper) fleet(ts *testscript.TestScript, _ bool, _ []string) {
	port := h.reserve()
	ts.Check(ts.Exec("berylglade", "dev", "--port", strconv.Itoa(port), "--write", "."))
	for _, name := range names(ts) {
		s := load(ts, name)
		ts.Setenv("DUMP_"+strings.ReplaceAll(name, "-", ""), s.Dump)
		if i, ok := strings.CutPrefix(name, "entry-"); ok {
			ts.Setenv("HTTP"+i, s.Entry.HTTP)
		}
	}
	ts.Setenv("BERYLGLADE_ENTRY", ts.Getenv("HTTP1"))
}

// names returns the processes in the order in which they start.
func names(ts *testscript.TestScript) []string {
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

func load(ts *testscript.TestScript, name string) settings {
	var s settings
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(name+".hujson")), &s))
	return s
}

func (h *helper) ready(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		args = names(ts)
	}
	for _, name := range args {
		waitReady(ts, name, load(ts, name).Dump)
	}
}

func waitReady(ts *testscript.TestScript, name, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), _readyLimit)
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
		time.Sleep(_poll)
	}
	ts.Fatalf("%s is not ready after %v: %s", name, _readyLimit, last)
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

func (h *helper) until(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: until PATTERN COMMAND...")
	}
	pattern := regexp.MustCompile("(?m)" + args[0])
	end := time.Now().Add(_untilLimit)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout")
		if err == nil && pattern.MatchString(out) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("no output matches %q after %v; last error %v, output:\n%s%s", args[0], _untilLimit, err, out, ts.ReadFile("stderr"))
		}
		time.Sleep(_poll)
	}
}

func (h *helper) same(ts *testscript.TestScript, _ bool, args []string) {
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

func (h *helper) code(ts *testscript.TestScript, _ bool, args []string) {
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

func (h *helper) set(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile(args[1])))
}

func (h *helper) busy(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), _untilLimit)
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
		time.Sleep(_poll)
	}
	ts.Fatalf("no backend server runs a call after %v", _untilLimit)
}

func (h *helper) closed(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(_untilLimit)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", args[0], time.Second)
		if err != nil {
			return
		}
		ts.Check(conn.Close())
		time.Sleep(_poll)
	}
	ts.Fatalf("%s accepts connections after %v", args[0], _untilLimit)
}
