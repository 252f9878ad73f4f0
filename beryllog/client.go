package beryllog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"berylglade/berylerror"
)

const (
	// _dialTimeout bounds the connection setup, so that an unreachable log is
	// detected well within the lease of a leader.
	_dialTimeout = time.Second
	// _appendTimeout bounds one append, whose outcome is unknown afterwards.
	_appendTimeout = 2 * time.Second
	// _readTimeout is added to the wait time of a long poll.
	_readTimeout = 2 * time.Second
	// _maxReply bounds the size of one reply in bytes.
	_maxReply = 64 << 20
	// _maxErrorText bounds the part of an error reply that an error message quotes.
	_maxErrorText = 200
)

// ClientHeader is the header with the sender's name, for the log's own records.
const ClientHeader = "X-Client"

// AppendRequest is the JSON body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the JSON reply to an append.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// Client accesses the log over HTTP. Append returns errors of kind notrun if the
// records were certainly not added and unknown if they may have been; a request
// that the log rejects permanently has kind invalid, denied or oversize. Read
// returns errors of kind unavailable.
type Client struct {
	base string
	name string
	http *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log at base, such as "http://10.0.0.1:80". It
// sends name with each request.
func NewClient(base, name string) *Client {
	dialer := &net.Dialer{Timeout: _dialTimeout}
	return &Client{
		base: base,
		name: name,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) (int64, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, berylerror.NotRun.Wrap(err, "encode append")
	}
	ctx, cancel := context.WithTimeout(ctx, _appendTimeout)
	defer cancel()
	// A request without a connection was certainly not sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, berylerror.NotRun.Wrap(err, "append to "+stream)
	}
	req.Header.Set("Content-Type", "application/json")
	var reply AppendReply
	err = c.do(req, &reply)
	switch {
	case err == nil && reply.Offset < 1:
		return 0, berylerror.Unknown.Errorf("append to %s: reply has offset %d", stream, reply.Offset)
	case err == nil:
		return reply.Offset, nil
	case !connected.Load():
		return 0, berylerror.NotRun.Wrap(err, "append to "+stream)
	default:
		return 0, appendKind(berylerror.Of(err)).Wrap(err, "append to "+stream)
	}
}

// appendKind returns the kind of a failed append whose request had a connection.
func appendKind(k berylerror.Kind) berylerror.Kind {
	switch k {
	case berylerror.NotRun, berylerror.Invalid, berylerror.Denied, berylerror.Oversize:
		return k
	default:
		return berylerror.Unknown
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+_readTimeout)
	defer cancel()
	query := "?from=" + strconv.FormatInt(from, 10) + "&wait=" + wait.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+query, http.NoBody)
	if err != nil {
		return Batch{}, berylerror.Unavailable.Wrap(err, "read "+stream)
	}
	var b Batch
	if err := c.do(req, &b); err != nil {
		return Batch{}, berylerror.Unavailable.Wrap(err, "read "+stream)
	}
	if err := b.check(from); err != nil {
		return Batch{}, berylerror.Unavailable.Wrap(err, "read "+stream)
	}
	return b, nil
}

// check rejects a batch that violates the guarantees of its fields. A reader would
// otherwise skip records, or take an empty reply such as {} for a confirmation
// that nothing was appended.
func (b *Batch) check(from int64) error {
	if b.First < 1 || b.Next < b.First {
		return berylerror.Unavailable.Errorf("reply has first %d and next %d", b.First, b.Next)
	}
	want := max(from, b.First)
	for i := range b.Entries {
		if b.Entries[i].Offset != want || want >= b.Next {
			return berylerror.Unavailable.Errorf("reply has offset %d, expected %d; next is %d", b.Entries[i].Offset, want, b.Next)
		}
		want++
	}
	return nil
}

func (c *Client) url(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) do(req *http.Request, reply any) error {
	req.Header.Set(ClientHeader, c.name)
	// An empty value suppresses the default header, which saves bytes in idle
	// polls.
	req.Header.Set("User-Agent", "")
	resp, err := c.http.Do(req)
	if err != nil {
		return berylerror.Unknown.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, _maxReply))
	if err != nil {
		return berylerror.Unknown.Wrap(err, "read reply")
	}
	if resp.StatusCode != http.StatusOK {
		return statusKind(resp.StatusCode).Errorf("log answered %d: %.*s", resp.StatusCode, _maxErrorText, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return berylerror.Unknown.Wrap(err, "decode reply")
	}
	return nil
}

// statusKind returns the error kind for a reply with another status than OK.
func statusKind(status int) berylerror.Kind {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return berylerror.NotRun
	case http.StatusUnauthorized, http.StatusForbidden:
		return berylerror.Denied
	case http.StatusRequestEntityTooLarge:
		return berylerror.Oversize
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return berylerror.Invalid
	default:
		return berylerror.Unknown
	}
}
