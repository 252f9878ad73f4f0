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
// time, so an entry needs one connection to an agent for each call in flight. A
// backend server runs about 60 calls at the same time.
const (
	_poolExpiration  = 2 * time.Minute
	_poolPerAddress  = 64
	_dialTimeout     = time.Second
	_keepAlivePeriod = 30 * time.Second
)

// Client calls functions on other processes. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	// closeOnCancel means that a call whose context is done before it returns
	// closes its connection.
	closeOnCancel bool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  _poolExpiration,
		KeyCapacity: _poolPerAddress,
	})}
}

// NewClosingClient returns a client that closes the connection of a call whose
// context is done before the call returns, so that it does not reuse a connection
// on which the peer no longer answers.
func NewClosingClient() *Client {
	c := NewClient()
	c.closeOnCancel = true
	return c
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call calls a method of the process at addr. An error of the remote function
// keeps its kind. If the request could not be sent, the error is of kind NotRun.
// Any other failure is of kind Unknown because the function may have run.
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
// request was not sent or its outcome is unknown.
func Remote(err error) bool { return drpcerr.Code(err) != 0 }

func callError(err error, dialed bool, addr string, m berylmessage.Method) error {
	text := string(m) + " to " + addr
	if !dialed {
		return berylerror.NotRun.Wrap(err, text)
	}
	code := drpcerr.Code(err)
	if code > uint64(berylerror.Unavailable) {
		// The error is not wrapped, since Remote would then report it as one
		// that the remote function has returned.
		return berylerror.Unknown.Errorf("%s: error code %d is not a known kind: %v", text, code, err)
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
	options.SoftCancel = !c.closeOnCancel
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: options}), nil
}

var _ drpc.Conn = (*drpcconn.Conn)(nil)
