// Package berylworker defines the interface to a worker and implements its HTTP
// client.
package berylworker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
)

// Worker runs tasks under leases. All methods except Start may be retried. An
// error of kind NotRun means that the request was never sent, and one of kind
// Unknown that it may have taken effect; other kinds are reported by the
// worker.
type Worker interface {
	// Start starts a task. Repeating the start of a task that still runs has no
	// effect; the id of an ended task is a Conflict.
	Start(ctx context.Context, t Task) error
	// Renew makes a task's lease last for the given time from now.
	Renew(ctx context.Context, id string, lease time.Duration) error
	// Checkpoint saves a task's progress.
	Checkpoint(ctx context.Context, id string) error
	// Throttle halves the speed of a task.
	Throttle(ctx context.Context, id string) error
	// Stop ends a task. Stopping an ended task has no effect.
	Stop(ctx context.Context, id string) error
	// Tasks lists the running tasks and those that ended in the last minute.
	Tasks(ctx context.Context) ([]Status, error)
	// Usage returns the resource usage of the tasks, which lags behind.
	Usage(ctx context.Context) (Usage, error)
}

// Task is a unit of work for a worker.
type Task struct {
	ID string `json:"id"`
	// Labels are stored with the task and returned when tasks are listed.
	Labels map[string]string `json:"labels,omitempty"`
	// Shape is the amount of resources reserved for the task. The worker
	// enforces it as a limit.
	Shape berylshape.Shape `json:"shape"`
	// Lease is the time after which the task is ended unless the lease is
	// renewed.
	Lease   berylduration.Duration `json:"lease"`
	Payload string                 `json:"payload,omitempty"`
}

// State is the state of a task.
type State uint8

const (
	// Running tasks use resources; tasks in all other states have ended.
	Running State = iota + 1
	// Done tasks ended on their own with success.
	Done
	// Failed tasks ended on their own without success.
	Failed
	// Stopped tasks were ended on request.
	Stopped
	// Expired tasks were ended because their lease expired.
	Expired
	// Exceeded tasks were ended because they exceeded a limit of their shape.
	Exceeded
)

func states() []string {
	return []string{"", "running", "done", "failed", "stopped", "expired", "exceeded"}
}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(states()) {
		return ""
	}
	return states()[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range states() {
		if i > 0 && name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return berylerror.Invalid.Errorf("task state %q is not known", text)
}

// Status is a task with its state.
type Status struct {
	Task
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// List is the response to GET /tasks.
type List struct {
	Tasks []Status `json:"tasks"`
}

// Usage is the response to GET /usage.
type Usage struct {
	// Used is the total usage of all tasks.
	Used berylshape.Shape `json:"used"`
	// Tasks is the usage of each task, by id.
	Tasks map[string]berylshape.Shape `json:"tasks,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
}

const (
	_dialTimeout = time.Second
	_keepAlive   = 30 * time.Second
	_idleTimeout = 20 * time.Second
	// _connections is enough to renew all tasks of a host concurrently.
	_connections = 16
	// _maxReplyBytes limits the list of tasks, whose labels grow with the size
	// of the gang.
	_maxReplyBytes = 64 << 20
)

// Client is a Worker that uses HTTP.
type Client struct {
	url  string
	http *http.Client
}

var _ Worker = (*Client)(nil)

// New returns a client of the worker at a base URL.
func New(url string) *Client {
	dialer := net.Dialer{Timeout: _dialTimeout, KeepAlive: _keepAlive}
	return &Client{
		url: url,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: _connections,
			MaxConnsPerHost:     _connections,
			IdleConnTimeout:     _idleTimeout,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start implements Worker.
func (c *Client) Start(ctx context.Context, t Task) error {
	return c.do(ctx, http.MethodPost, "/tasks", t, nil)
}

// renewal is the body of a renew request.
type renewal struct {
	Lease berylduration.Duration `json:"lease"`
}

// Renew implements Worker.
func (c *Client) Renew(ctx context.Context, id string, lease time.Duration) error {
	return c.do(ctx, http.MethodPost, taskPath(id, "renew"), renewal{Lease: berylduration.Duration(lease)}, nil)
}

// Checkpoint implements Worker.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodPost, taskPath(id, "checkpoint"), nil, nil)
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodPost, taskPath(id, "throttle"), nil, nil)
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodPost, taskPath(id, "stop"), nil, nil)
}

// Tasks implements Worker.
func (c *Client) Tasks(ctx context.Context) ([]Status, error) {
	var l List
	err := c.do(ctx, http.MethodGet, "/tasks", nil, &l)
	return l.Tasks, err
}

// Usage implements Worker.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	var u Usage
	err := c.do(ctx, http.MethodGet, "/usage", nil, &u)
	return u, err
}

func taskPath(id, verb string) string { return "/tasks/" + url.PathEscape(id) + "/" + verb }

// do sends one request. The request body in and the decoded response out are
// optional.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return berylerror.NotRun.Wrap(err, "encode request to worker")
		}
		body = bytes.NewReader(text)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return berylerror.NotRun.Wrap(err, "create request to worker")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil && !sent.Load() {
		return berylerror.NotRun.Wrap(err, "connect to worker")
	}
	if err != nil {
		return berylerror.Unknown.Wrap(err, "send request to worker")
	}
	defer resp.Body.Close()
	return decode(resp.StatusCode, resp.Body, out)
}

func decode(status int, body io.Reader, out any) error {
	text, err := io.ReadAll(io.LimitReader(body, _maxReplyBytes))
	if err != nil {
		return berylerror.Unknown.Wrap(err, "read answer of worker")
	}
	if !succeeded(status) {
		var p Problem
		if json.Unmarshal(text, &p) != nil || p.Kind == "" {
			return berylerror.Unknown.Errorf("worker answered with status %d and no error kind", status)
		}
		return problemKind(p.Kind).Errorf("worker: %s", p.Text)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return berylerror.Unknown.Wrap(err, "decode answer of worker")
	}
	return nil
}

// succeeded reports whether a status means success. A redirect does not,
// because a worker that redirects has done nothing.
func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// problemKind returns the kind of an error that the worker reports. An unknown
// name says nothing about the outcome. NotRun is reserved for requests that
// were never sent, so a reply of that kind is treated as Unknown as well.
func problemKind(name string) berylerror.Kind {
	k := berylerror.Parse(name)
	if k.String() != name || k == berylerror.NotRun {
		return berylerror.Unknown
	}
	return k
}
