// Package berylrpc carries messages between our processes: drpc over TCP with
// CBOR structs.
//
// A [Server] serves typed functions that were registered with [Handle]. A
// [Client] keeps connections per address and calls them with [Call]. The error
// kind of a failed function travels with it. The listener trusts every process
// that can reach it, so it is bound to the network of the system's VMs only.
package berylrpc

import (
	"context"
	"net"
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

// _maxMessage bounds the bytes of one message. Bodies of calls are limited well
// below it by their class.
const _maxMessage = 16 << 20

// _idleTimeout ends a connection on which no request has arrived for so long.
const _idleTimeout = 5 * time.Minute

// _maxConnections bounds the connections of a server. At the target scale of
// 1,571 workers in a failure domain, each beside an agent that sends heartbeats
// to two entries of it, an entry needs fewer even if there are only two.
const _maxConnections = 4096

// Server serves registered functions.
type Server struct {
	handlers map[berylmessage.Method]handler
}

type handler func(ctx context.Context, stream drpc.Stream) error

// Handle registers f for a method. All registrations happen before Serve.
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

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	srv := drpcserver.NewWithOptions(s, drpcserver.Options{
		Manager: managerOptions(_idleTimeout),
	})
	return srv.Serve(ctx, netutil.LimitListener(lis, _maxConnections))
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	h, ok := s.handlers[berylmessage.Method(rpc)]
	if !ok {
		return withCode(berylerror.Invalid.Errorf("method %q is not known", rpc))
	}
	if err := h(stream.Context(), stream); err != nil {
		return withCode(err)
	}
	return stream.CloseSend()
}

// withCode attaches the kind to err in the form that drpc carries.
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

// encoding is the CBOR codec.
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
