// Package berylrunner defines the interface to a backend server and implements
// its HTTP client.
//
// The client sends each request at most once: it follows no redirects, and
// net/http retries a POST only if no part of it was written.
package berylrunner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"berylglade/berylerror"
)

// Runner runs requests on a backend server.
type Runner interface {
	// Work runs a request. An error of kind NotRun means that the request was
	// never sent, kind Unknown that it may have run, and kind Failed that it
	// ran but its answer cannot be used.
	Work(ctx context.Context, req Request) (Response, error)
}

// Request is a request for a backend server.
type Request struct {
	// ID is sent in the header X-Request-Id.
	ID string
	// Class is sent in the header X-Class.
	Class string
	// Body is sent unchanged.
	Body []byte
}

// Response is the answer of a backend server.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Body is the complete body.
	Body []byte
}

// Headers of the protocol.
const (
	// HeaderID carries the request id in requests and responses.
	HeaderID = "X-Request-Id"
	// HeaderClass carries the class of work.
	HeaderClass = "X-Class"
)

const (
	// _maxAnswerBytes is half of the largest message between berylglade
	// processes.
	_maxAnswerBytes = 8 << 20
	_dialTimeout    = time.Second
	_keepAlive      = 30 * time.Second
	// _idleTimeout is below the idle timeout of common HTTP servers (60 s and
	// more). If the server closes a connection just as a request is sent on it,
	// the outcome of that request is unknown.
	_idleTimeout = 20 * time.Second
)

// Client is a Runner that uses HTTP.
type Client struct {
	url  string
	http *http.Client
}

var _ Runner = (*Client)(nil)

// New returns a client of the backend server at a base URL that uses at most
// conns connections.
func New(url string, conns int) *Client {
	dialer := net.Dialer{Timeout: _dialTimeout, KeepAlive: _keepAlive}
	return &Client{
		url: url + "/work",
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConns:        conns,
				MaxIdleConnsPerHost: conns,
				MaxConnsPerHost:     conns,
				IdleConnTimeout:     _idleTimeout,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Work implements Runner.
func (c *Client) Work(ctx context.Context, req Request) (Response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(req.Body))
	if err != nil {
		return Response{}, berylerror.NotRun.Wrap(err, "create request for backend server")
	}
	post.Header.Set(HeaderID, req.ID)
	post.Header.Set(HeaderClass, req.Class)
	post.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.http.Do(post)
	if err != nil {
		if !sent.Load() {
			return Response{}, berylerror.NotRun.Wrap(err, "connect to backend server")
		}
		return Response{}, berylerror.Unknown.Wrap(err, "send request to backend server")
	}
	defer resp.Body.Close()
	return read(req.ID, resp)
}

func read(id string, resp *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, _maxAnswerBytes+1))
	if err != nil {
		return Response{}, berylerror.Unknown.Wrap(err, "read answer of backend server")
	}
	if len(body) > _maxAnswerBytes {
		return Response{}, berylerror.Failed.Errorf("answer of backend server is longer than %d bytes", _maxAnswerBytes)
	}
	if got := resp.Header.Get(HeaderID); got != "" && got != id {
		return Response{}, berylerror.Unknown.Errorf("backend server answered request %s instead of %s", got, id)
	}
	return Response{Status: resp.StatusCode, Body: body}, nil
}
