package berylscript

import (
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// child is a process that a script started.
type child struct {
	name string
	cmd  *exec.Cmd
	// out is the file with what the process and its predecessors of the same name
	// wrote.
	out string
	// ended is closed after err has been set.
	ended chan struct{}
	err   error
}

// spawn starts the process with the settings file of a name.
func spawn(ts *testscript.TestScript, name string) *child {
	role, _, _ := strings.Cut(name, "-")
	args := []string{role}
	if role != "entry" && role != "agent" {
		args = []string{"standin", role}
	}
	// The test's own binary is the program when its name says so.
	path, err := exec.LookPath("berylglade")
	ts.Check(err)
	c := &child{name: name, out: ts.MkAbs(name + ".out"), ended: make(chan struct{})}
	out, err := os.OpenFile(c.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	c.cmd = exec.Command(path, append(args, ts.MkAbs(name+".hujson"))...)
	c.cmd.Dir = ts.Getenv("WORK")
	c.cmd.Stdout, c.cmd.Stderr = out, out
	ts.Check(c.cmd.Start())
	ts.Check(out.Close())
	go func() {
		c.err = c.cmd.Wait()
		close(c.ended)
	}()
	return c
}

// send fails with what the process wrote last if it has ended.
func (c *child) send(ts *testscript.TestScript, sig os.Signal) {
	if err := c.cmd.Process.Signal(sig); err != nil {
		ts.Fatalf("send %v: %v\n%s", sig, err, c.report())
	}
}

// kill ends the process. SIGKILL also ends one that is suspended.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	<-c.ended
}

// report says whether the process runs and what it wrote last, so that a failure
// that is not seen again can be traced from the output of the test.
func (c *child) report() string {
	const most = 2000
	state := "runs"
	select {
	case <-c.ended:
		state = fmt.Sprintf("ended with %v", c.err)
	default:
	}
	out, err := os.ReadFile(c.out)
	if err != nil {
		out = []byte(err.Error())
	}
	return fmt.Sprintf("== %s, process %d, %s:\n%s", c.name, c.cmd.Process.Pid, state, out[max(0, len(out)-most):])
}
