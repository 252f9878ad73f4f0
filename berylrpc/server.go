// Package berylrpc implements remote procedure calls between the processes of the
// system: drpc over TCP with messages in CBOR.
//
// A [Server] serves functions that are registered with [Handle]. A [Client] pools
// connections by address and calls functions with [Call]. An error of a function
// is sent to the caller with its kind. The server does not authenticate its peers,
// so its listener must be bound to the network of the system's VMs only.
package berylrpc

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/net/netutil"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"berylglade/berylerror"
	"berylglade/berylmessage"
)

// _maxMessage is the maximum size of a message in bytes. The limit on the body of
// a call, which its class sets, is well below it.
const _maxMessage = 16 << 20

// _idleTimeout is the time without a request after which a connection is closed.
const _idleTimeout = 5 * time.Minute

// _maxConnections is the default maximum number of connections of a server. At the target
// scale a failure domain has 1,571 workers, and the agent of each sends heartbeats
// to two entries of the domain. Even with only two entries in the domain, an entry
// needs fewer connections.
const _maxConnections = 4096

// Server serves registered functions.
type Server struct {
	// Log receives an error for each call whose function has panicked; slog.Default if
	// nil.
	Log *slog.Logger
	// MaxConnections is the maximum number of connections; further ones wait until one
	// is closed. Zero means 4096.
	MaxConnections int

	handlers map[berylmessage.Method]handler
}

type handler func(ctx context.Context, stream drpc.Stream) error

// Handle registers f for a method. It must not be called after Serve.
func Handle[Req, Resp any](s *Server, m berylmessage.Method, f func(ctx context.Context, req *Req) (*Resp, error)) {
	if s.handlers == nil {
		s.handlers = map[berylmessage.Method]handler{}
	}
	s.handlers[m] = func(ctx context.Context, stream drpc.Stream) error {
		var req Req
		if err := stream.MsgRecv(&req, encoding{}); err != nil {
			return err
		}
		resp, err := f(ctx, &req)
		if err != nil {
			return err
		}
		return stream.MsgSend(resp, encoding{})
	}
}

// Serve accepts connections and serves requests until ctx is done.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	srv := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(_idleTimeout),
	})
	limit := s.MaxConnections
	if limit == 0 {
		limit = _maxConnections
	}
	return srv.Serve(ctx, netutil.LimitListener(lis, limit))
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	h, ok := s.handlers[berylmessage.Method(rpc)]
	if !ok {
		return withCode(berylerror.Invalid.Errorf("unknown method %q", rpc))
	}
	if err := s.call(h, stream, rpc); err != nil {
		return withCode(err)
	}
	return stream.CloseSend()
}

// call runs a registered function. If it panics, only this call fails: a message of one
// peer must not end the process.
func (s *Server) call(h handler, stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = berylerror.Internal.Errorf("%s panicked: %v", rpc, r)
			log := s.Log
			if log == nil {
				log = slog.Default()
			}
			log.Error("call panicked", "method", rpc, "panic", fmt.Sprint(r), "stack", string(debug.Stack()))
		}
	}()
	return h(stream.Context(), stream)
}

// withCode attaches the kind of err as the error code that drpc transmits.
func withCode(err error) error {
	return drpcerr.WithCode(err, uint64(berylerror.Of(err)))
}

func managerOptions(idle time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: _maxMessage},
		Stream:            drpcstream.Options{MaximumBufferSize: _maxMessage},
		SoftCancel:        true,
		InactivityTimeout: idle,
	}
}

// encoding encodes messages as CBOR.
type encoding struct{}

var _ drpc.Encoding = encoding{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if err := cbor.Unmarshal(buf, msg); err != nil {
		return berylerror.Invalid.Wrap(err, "decode message")
	}
	return nil
}
