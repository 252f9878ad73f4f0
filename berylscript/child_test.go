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
	// outPath is the file that collects the standard output and standard error
	// of this process and of earlier ones with the same name.
	outPath string
	// exited is closed after err has been set to the result of Wait.
	exited chan struct{}
	err    error
}

// spawn starts the process that the settings file NAME.hujson describes. The part
// of the name before the first hyphen is the role.
func spawn(ts *testscript.TestScript, name string) *child {
	role, _, _ := strings.Cut(name, "-")
	args := []string{role}
	if role != "entry" && role != "agent" {
		args = []string{"standin", role}
	}
	// testscript puts the test binary on PATH under this name, and it then runs
	// the program.
	path, err := exec.LookPath("berylglade")
	ts.Check(err)
	c := &child{name: name, outPath: ts.MkAbs(name + ".out"), exited: make(chan struct{})}
	out, err := os.OpenFile(c.outPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	c.cmd = exec.Command(path, append(args, ts.MkAbs(name+".hujson"))...)
	c.cmd.Dir = ts.Getenv("WORK")
	c.cmd.Stdout, c.cmd.Stderr = out, out
	ts.Check(c.cmd.Start())
	ts.Check(out.Close())
	go func() {
		c.err = c.cmd.Wait()
		close(c.exited)
	}()
	return c
}

// send sends a signal. If the process has exited, it fails the script with the
// process's last output.
func (c *child) send(ts *testscript.TestScript, sig os.Signal) {
	if err := c.cmd.Process.Signal(sig); err != nil {
		ts.Fatalf("send %v: %v\n%s", sig, err, c.report())
	}
}

// kill sends SIGKILL, which also ends a suspended process, and waits for the exit.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	<-c.exited
}

// report returns the state of the process and its last output, so that a failure
// that can't be reproduced can be diagnosed from the test's output.
func (c *child) report() string {
	const maxBytes = 2000
	state := "running"
	select {
	case <-c.exited:
		state = fmt.Sprintf("exited with %v", c.err)
	default:
	}
	out, err := os.ReadFile(c.outPath)
	if err != nil {
		out = []byte(err.Error())
	}
	return fmt.Sprintf("== %s, process %d, %s:\n%s", c.name, c.cmd.Process.Pid, state, out[max(0, len(out)-maxBytes):])
}
