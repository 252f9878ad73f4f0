package beryllistener

import (
	"context"
	"math"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"berylglade/berylclock"
)

// Drain makes the kernel ignore new connections, and returns when Accept has returned
// those that are established: closing the listener would reset them, and their clients
// could not tell whether their requests were served. A client that is ignored repeats
// its attempt and is refused after the listener was closed. Accept must be called
// meanwhile. Drain returns an error if ctx ends first or if the socket has no filters,
// as one of Multipath TCP.
func (l *Listener) Drain(ctx context.Context) error {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return errors.Errorf("%T is not a socket", l.Listener)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listening socket")
	}
	if err := ignoreNew(raw); err != nil {
		return errors.Wrap(err, "ignore new connections")
	}
	for pause := _handshakeTime; berylclock.Pause(ctx, pause); pause = _drainPoll {
		n, err := acceptQueue(raw)
		if err != nil {
			return errors.Wrap(err, "accept queue")
		}
		if n == 0 {
			return nil
		}
	}
	return ctx.Err()
}

// ignoreNew attaches a filter that drops the segments that open a connection, which
// have SYN without ACK. A handshake in progress is completed.
func ignoreNew(raw syscall.RawConn) error {
	const flagsOffset, syn, ack = 13, 0x02, 0x10
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: syn | ack},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: syn, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: math.MaxUint32},
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, op := range program {
		filter[i] = unix.SockFilter{Code: op.Op, Jt: op.Jt, Jf: op.Jf, K: op.K}
	}
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &prog)
	})
	return errors.Join(err, failed)
}

// acceptQueue returns the number of established connections that wait for Accept.
func acceptQueue(raw syscall.RawConn) (uint32, error) {
	var info *unix.TCPInfo
	var failed error
	err := raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, failed); err != nil {
		return 0, err
	}
	// For a listening socket, Linux returns the length of the accept queue in this field.
	return info.Unacked, nil
}

const (
	// _handshakeTime is how long a handshake in progress may take to be completed.
	_handshakeTime = 200 * time.Millisecond
	// _drainPoll is the time between two looks at the accept queue.
	_drainPoll = 5 * time.Millisecond
)
