// Package berylclient is the Go client of the HTTP API that berylapi serves.
//
// Every error has a [berylerror.Kind]. For a request that changes state,
// [berylerror.NotRun] means that it was not executed and may be retried, and
// [berylerror.Unknown] means that it is not known whether it was executed, for
// example because its reply was lost. For a read, a lost reply has kind
// [berylerror.Unavailable].
//
// For a request with an idempotency key, both are said of the key: an earlier request with it
// may have been executed. So a request with a key that could not be sent has kind Unknown; it
// may be repeated with its key.
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

// _maxErrorText is the number of bytes of a malformed error reply that an error
// text quotes.
const _maxErrorText = 200

// _maxReply is the largest reply in bytes. A list of 6,300 jobs, each with the
// members of a gang of 512, is below it.
const _maxReply = 256 << 20

// Client sends requests to an entry, or to a load balancer in front of several.
type Client struct {
	// Base is the URL of the entry, such as "http://10.0.0.1:8080".
	Base string
	// Account and Token authenticate a client account. For an operator, Account
	// is empty and Token is the operator's token.
	Account string
	Token   string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Call is a call to run.
type Call struct {
	Class string
	// Key is the idempotency key, or empty.
	Key string
	// Timeout bounds the run of the call; zero means the timeout of the class.
	Timeout time.Duration
	Body    []byte
}

// Answer is the answer to a call.
type Answer struct {
	// ID is set if the call may have run, even if there is an error.
	ID   string
	Body []byte
}

// Call sends a call and waits for its answer.
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

// Find returns the answer to an earlier call. It waits up to the given time if
// the call is still running.
func (c *Client) Find(ctx context.Context, id string, wait time.Duration) (Answer, error) {
	return c.answer(c.do(ctx, http.MethodGet, "/v1/calls/"+url.PathEscape(id)+"?wait="+wait.String(), nil, nil))
}

// FindKey is like Find for a call with an idempotency key.
func (c *Client) FindKey(ctx context.Context, key string, wait time.Duration) (Answer, error) {
	return c.answer(c.do(ctx, http.MethodGet, "/v1/keys/"+url.PathEscape(key)+"?wait="+wait.String(), nil, nil))
}

// Submit submits a job. The idempotency key may be empty. The ID of the state is
// set if the job may have been recorded, even if there is an error.
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

// Cancel cancels a job.
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

// Publish publishes a configuration change and returns its offset in the log.
func (c *Client) Publish(ctx context.Context, change berylapi.Change) (int64, error) {
	return c.publish(ctx, "/v1/config", change)
}

// TakeDomainOut takes a failure domain out of service.
func (c *Client) TakeDomainOut(ctx context.Context, domain string, out berylapi.OutRequest) (int64, error) {
	return c.publish(ctx, "/v1/domains/"+url.PathEscape(domain)+"/out", out)
}

// BringDomainBack puts a failure domain back into service.
func (c *Client) BringDomainBack(ctx context.Context, domain string) (int64, error) {
	return c.publish(ctx, "/v1/domains/"+url.PathEscape(domain)+"/back", nil)
}

// Drain makes an agent receive no new work.
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

func (c *Client) publish(ctx context.Context, path string, body any) (int64, error) {
	var p berylapi.PublishReply
	_, err := c.json(ctx, http.MethodPost, path, nil, body, &p)
	return p.Offset, err
}

// reply is a completely read HTTP reply. Its id is that of a call or job, if the
// reply names one.
type reply struct {
	id   string
	body []byte
}

func (c *Client) answer(r reply, err error) (Answer, error) {
	return Answer{ID: r.id, Body: r.body}, err
}

// json sends a request with a JSON body and decodes the JSON reply. With an error
// it returns the ID of the call or job that may exist, if the reply names one.
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
		return "", lostReplyKind(method).Wrap(err, "decode reply")
	}
	return "", nil
}

// do sends a request and reads the whole reply. A reply with an error status is
// returned as an error.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	// A request for which no connection was obtained was not sent.
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
		if !connected.Load() && method != http.MethodGet && header.Get(berylapi.HeaderKey) == "" {
			return reply{}, berylerror.NotRun.Wrap(err, "send request")
		}
		return reply{}, lostReplyKind(method).Wrap(err, "send request")
	}
	defer resp.Body.Close()
	data, err := readReply(resp.Body, _maxReply)
	r := reply{id: resp.Header.Get(berylapi.HeaderCall), body: data}
	if err != nil {
		return r, lostReplyKind(method).Wrap(err, "read reply")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(r, method, resp.StatusCode)
	}
	return r, nil
}

// readReply reads the body of a reply. A body longer than limit is an error.
func readReply(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, berylerror.Oversize.Errorf("reply exceeds the limit of %d bytes", limit)
	}
	return data, err
}

// decodeError returns the error in a reply. For a call that ran and failed, the
// returned reply has the body that the backend server sent.
func decodeError(r reply, method string, status int) (reply, error) {
	var e berylapi.Error
	if err := json.Unmarshal(r.body, &e); err != nil || e.Kind == "" {
		// The reply does not come from an entry, but for example from a proxy
		// in front of it.
		return reply{id: r.id}, lostReplyKind(method).Errorf("reply with status %d has no error kind: %.*s", status, _maxErrorText, r.body)
	}
	if e.ID != "" {
		r.id = e.ID
	}
	return reply{id: r.id, body: e.Body}, berylerror.Parse(e.Kind).Errorf("%s", e.Text)
}

// lostReplyKind returns the error kind of a request whose reply was lost.
func lostReplyKind(method string) berylerror.Kind {
	if method == http.MethodGet {
		return berylerror.Unavailable
	}
	return berylerror.Unknown
}
