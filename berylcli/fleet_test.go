package berylcli

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"berylglade/berylerror"
)

func testFleet(t *testing.T) *fleet {
	t.Helper()
	port, err := findFreePorts()
	if err != nil {
		t.Fatal(err)
	}
	return newFleet(port, fleetDomains())
}

// Guards against processes that still run after dev has ended, and against losing
// the error that ended it.
func TestFleetStops(t *testing.T) {
	is := is.New(t)
	errUse := berylerror.Failed.Errorf("use failed")
	f := testFleet(t)
	err := f.run(t.Context(), func(ctx context.Context) error {
		for _, n := range f.processes() {
			is.NoErr(waitListen(ctx, n.settings.Dump.String()))
		}
		return errUse
	})
	is.True(errors.Is(err, errUse))
	for _, n := range f.processes() {
		lis, err := net.Listen("tcp", n.settings.Dump.String())
		is.NoErr(err) // the dump listener of the process is closed
		is.NoErr(lis.Close())
	}
}

func waitListen(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, _startTimeout)
	defer cancel()
	for {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return err
		}
	}
}

// Guards against a system that keeps running without one of its processes: here
// the dump port of a backend server is in use.
func TestFleetProcessFails(t *testing.T) {
	is := is.New(t)
	f := testFleet(t)
	occupied, err := net.Listen("tcp", f.runners[1].Dump.String())
	is.NoErr(err)
	defer occupied.Close()
	err = f.run(t.Context(), func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	is.True(err != nil)
	is.Equal(berylerror.Of(err), berylerror.Unavailable)
	t.Log(err)
}

// Guards against a second system that starts only partly, because the first uses
// some of the ports, so that commands reach the first one.
func TestDevPortInUse(t *testing.T) {
	is := is.New(t)
	port, err := findFreePorts()
	is.NoErr(err)
	occupied, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port+_fleetPorts-1))
	is.NoErr(err)
	defer occupied.Close()
	code, _, errs := run(t, "dev", "--port", strconv.Itoa(port))
	is.Equal(code, berylerror.Unavailable.Exit())
	is.True(strings.Contains(errs, "--port 0"))
}

// Guards against a demonstration that fails on a new machine or exceeds its time
// limits.
func TestDevDemo(t *testing.T) {
	is := is.New(t)
	code, out, errs := run(t, "--json", "dev", "--demo", "--port", "0")
	is.Equal(errs, "")
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"phase": "done"`))
}
