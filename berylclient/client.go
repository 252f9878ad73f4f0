// Package berylclient is the Go client of the HTTP API that berylapi serves.
//
// Every error has its kind. For requests that change something, an error of
// kind notrun means that the request was not carried out and may be sent again;
// a reply that was lost has kind unknown. Lost replies of reads have kind
// unavailable.
package berylclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"berylglade/berylapi"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryljob"
)

// _maxText bounds the part of a malformed error reply that goes into an error.
const _maxText = 200

// _maxReply bounds the bytes of one reply. It is above the list of 6,300 jobs
// with the members of a gang of 512.
const _maxReply = 256 << 20

// Client sends requests to one entry, or to the load balancer before several.
type Client struct {
	// Base is the URL of the entry, such as "http://10.0.0.1:8080".
	Base string
	// Account and Token authenticate a client account. Operators leave Account
	// empty and set Token to the operator token.
	Account string
	Token   string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Call is a call to run.
type Call struct {
	Class string
	// Key is the idempotency key; empty if none.
	Key string
	// Timeout is the time after which the caller gives up; zero means the
	// limit of the class.
	Timeout time.Duration
	Body    []byte
}

// Answer is the answer to a call.
type Answer struct {
	// ID is set if the call may have run, even with an error.
	ID   string
	Body []byte
}

// Call runs a call.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	header := http.Header{}
	if call.Key != "" {
		header.Set(berylapi.HeaderKey, call.Key)
	}
	if call.Timeout > 0 {
		header.Set(berylapi.HeaderTimeout, call.Timeout.String())
	}
	path := "/v1/calls?class=" + url.QueryEscape(call.Class)
	return c.answer(c.do(ctx, http.MethodPost, path, header, call.Body))
}

// Find returns the answer to a call; it waits if the call still runs.
func (c *Client) Find(ctx context.Context, id string, wait time.Duration) (Answer, error) {
	return c.answer(c.do(ctx, http.MethodGet, "/v1/calls/"+url.PathEscape(id)+"?wait="+wait.String(), nil, nil))
}

// FindKey returns the answer to a keyed call.
func (c *Client) FindKey(ctx context.Context, key string, wait time.Duration) (Answer, error) {
	return c.answer(c.do(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key)+"?wait="+wait.String(), nil, nil))
}

// Submit submits a job; the key may be empty.
func (c *Client) Submit(ctx context.Context, key string, s berylapi.Submission) (beryljob.State, error) {
	header := http.Header{}
	if key != "" {
		header.Set(berylapi.HeaderKey, key)
	}
	var state beryljob.State
	id, err := c.json(ctx, http.MethodPost, "/v1/jobs", header, s, &state)
	if err != nil {
		state.ID = id
	}
	return state, err
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, id string) (beryljob.State, error) {
	var state beryljob.State
	_, err := c.json(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, &state)
	return state, err
}

// Jobs returns the states of the account's jobs.
func (c *Client) Jobs(ctx context.Context) ([]beryljob.State, error) {
	var states []beryljob.State
	_, err := c.json(ctx, http.MethodGet, "/v1/jobs", nil, nil, &states)
	return states, err
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id string) (beryljob.State, error) {
	var state beryljob.State
	_, err := c.json(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &state)
	return state, err
}

// Config returns the configuration.
func (c *Client) Config(ctx context.Context) (berylconfig.Config, error) {
	var cfg berylconfig.Config
	_, err := c.json(ctx, http.MethodGet, "/v1/config", nil, nil, &cfg)
	return cfg, err
}

// Publish publishes a change of the configuration and returns its offset.
func (c *Client) Publish(ctx context.Context, change berylapi.Change) (int64, error) {
	return c.published(ctx, "/v1/config", change)
}

// TakeDomainOut takes a failure domain out of service.
func (c *Client) TakeDomainOut(ctx context.Context, domain string, out berylapi.OutRequest) (int64, error) {
	return c.published(ctx, "/v1/domains/"+url.PathEscape(domain)+"/out", out)
}

// BringDomainBack brings a failure domain back.
func (c *Client) BringDomainBack(ctx context.Context, domain string) (int64, error) {
	return c.published(ctx, "/v1/domains/"+url.PathEscape(domain)+"/back", nil)
}

// Drain stops new work for an agent.
func (c *Client) Drain(ctx context.Context, agent string) error {
	_, err := c.json(ctx, http.MethodPost, "/v1/agents/"+url.PathEscape(agent)+"/drain", nil, nil, &struct{}{})
	return err
}

// Agents returns the agents that the entry knows.
func (c *Client) Agents(ctx context.Context) ([]berylapi.Agent, error) {
	var agents []berylapi.Agent
	_, err := c.json(ctx, http.MethodGet, "/v1/agents", nil, nil, &agents)
	return agents, err
}

func (c *Client) published(ctx context.Context, path string, body any) (int64, error) {
	var p berylapi.PublishReply
	_, err := c.json(ctx, http.MethodPost, path, nil, body, &p)
	return p.Offset, err
}

// reply is a whole HTTP reply.
type reply struct {
	id   string
	body []byte
}

func (c *Client) answer(r reply, err error) (Answer, error) {
	return Answer{ID: r.id, Body: r.body}, err
}

// json sends and receives JSON. The returned id is that of an error.
func (c *Client) json(ctx context.Context, method, path string, header http.Header, in, out any) (string, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return "", berylerror.Invalid.Wrap(err, "encode request")
		}
	}
	r, err := c.do(ctx, method, path, header, body)
	if err != nil {
		return r.id, err
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return "", lost(method).Wrap(err, "decode reply")
	}
	return "", nil
}

// do sends a request and reads the whole reply.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	// A request that never got a connection was certainly not sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, berylerror.Invalid.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if c.Account != "" {
		req.Header.Set(berylapi.HeaderAccount, c.Account)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		if !connected.Load() && method != http.MethodGet {
			return reply{}, berylerror.NotRun.Wrap(err, "send request")
		}
		return reply{}, lost(method).Wrap(err, "send request")
	}
	defer resp.Body.Close()
	data, err := readReply(resp.Body, _maxReply)
	r := reply{id: resp.Header.Get(berylapi.HeaderCall), body: data}
	if err != nil {
		return r, lost(method).Wrap(err, "read reply")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(r, method, resp.StatusCode)
	}
	return r, nil
}

// readReply returns a whole reply; a longer one than the limit is an error.
func readReply(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, berylerror.Oversize.Errorf("reply is above the limit of %d bytes", limit)
	}
	return data, err
}

// decodeError returns the error of a reply. The body of a failed call is that
// of the backend server.
func decodeError(r reply, method string, status int) (reply, error) {
	var e berylapi.Error
	if err := json.Unmarshal(r.body, &e); err != nil || e.Kind == "" {
		// Something between client and entry answered in the entry's place.
		return reply{id: r.id}, lost(method).Errorf("status %d without an error kind: %.*s", status, _maxText, r.body)
	}
	if e.ID != "" {
		r.id = e.ID
	}
	return reply{id: r.id, body: e.Body}, berylerror.Parse(e.Kind).Errorf("%s", e.Text)
}

// lost returns the kind of a request whose reply was lost.
func lost(method string) berylerror.Kind {
	if method == http.MethodGet {
		return berylerror.Unavailable
	}
	return berylerror.Unknown
}
