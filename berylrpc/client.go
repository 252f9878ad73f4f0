package berylrpc

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcpool"

	"berylglade/berylerror"
	"berylglade/berylmessage"
)

// Limits of the connection pool. A drpc connection carries one request at a
// time, so an entry needs one connection per call in flight to an agent; a
// backend server takes about 60.
const (
	_poolExpiration  = 2 * time.Minute
	_poolPerAddress  = 64
	_dialTimeout     = time.Second
	_keepAlivePeriod = 30 * time.Second
)

// Client calls functions on other processes. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	// closing means that a call that ends by its context closes its connection.
	closing bool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  _poolExpiration,
		KeyCapacity: _poolPerAddress,
	})}
}

// NewClosingClient returns a client that closes the connection of a call that
// ended by its context, so that a connection which fell silent is not used again.
func NewClosingClient() *Client {
	c := NewClient()
	c.closing = true
	return c
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call calls a method on the process at addr. An error of kind NotRun means
// that the request was never sent. An error of the remote function keeps its
// kind. Any other failure has kind Unknown, as the function may have run.
func Call[Req, Resp any](ctx context.Context, c *Client, addr string, m berylmessage.Method, req *Req) (*Resp, error) {
	dialed := true
	conn := c.pool.Get(ctx, addr, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		conn, err := c.dial(ctx, addr)
		dialed = err == nil
		return conn, err
	})
	defer func() { _ = conn.Close() }()

	resp := new(Resp)
	err := conn.Invoke(ctx, string(m), encoding{}, req, resp)
	if err == nil {
		return resp, nil
	}
	return nil, callError(err, dialed, addr, m)
}

// Remote reports whether err was returned by the remote function. Otherwise the
// request was not sent or its outcome was lost.
func Remote(err error) bool { return drpcerr.Code(err) != 0 }

func callError(err error, dialed bool, addr string, m berylmessage.Method) error {
	text := string(m) + " to " + addr
	if !dialed {
		return berylerror.NotRun.Wrap(err, text)
	}
	code := drpcerr.Code(err)
	if code > uint64(berylerror.Unavailable) {
		// The text alone is kept, so that Remote does not take the error for
		// one of a known kind.
		return berylerror.Unknown.Errorf("%s: code %d is not a kind: %v", text, code, err)
	}
	if code != 0 {
		return berylerror.Kind(code).Wrap(err, text)
	}
	return berylerror.Unknown.Wrap(err, text)
}

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: _dialTimeout, KeepAlive: _keepAlivePeriod}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	options := managerOptions(0)
	options.SoftCancel = !c.closing
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: options}), nil
}

var _ drpc.Conn = (*drpcconn.Conn)(nil)
