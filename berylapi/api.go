// Package berylapi serves callers and operators over HTTP.
//
// [API] authenticates, checks and decodes each request and passes it to an
// [Entry]; it holds no state. Callers send their client account in X-Account
// and its token as a bearer token; operators send a token whose SHA-256 is in
// the entry's settings. Every error is the JSON form of [Error].
//
//	POST   /v1/calls?class=             run a call; the body is the request
//	GET    /v1/calls/{id}?wait=         answer of a call
//	GET    /v1/keys/{key}?wait=         answer of a call by idempotency key
//	POST   /v1/jobs                     submit a job
//	GET    /v1/jobs                     jobs of the client account
//	GET    /v1/jobs/{id}                state of a job
//	DELETE /v1/jobs/{id}                cancel a job
//	GET    /v1/config                   configuration (operators)
//	POST   /v1/config                   publish a change (operators)
//	POST   /v1/domains/{name}/out       take a failure domain out (operators)
//	POST   /v1/domains/{name}/back      bring it back (operators)
//	POST   /v1/agents/{name}/drain      drain an agent (operators)
//	GET    /v1/agents                   known agents (operators)
package berylapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylclock"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/beryljob"
	"berylglade/berylshape"
)

// Limits of requests.
const (
	// _defaultBody bounds the body of a call whose class sets no limit, and of
	// every JSON request.
	_defaultBody = 1 << 20
	// _defaultTimeout bounds a call whose class sets no limit.
	_defaultTimeout = 30 * time.Second
	// _maxWait bounds the wait for an answer.
	_maxWait = time.Minute
	// _writeTimeout ends the connection of a caller that does not read.
	_writeTimeout = 30 * time.Second
	// _maxKey bounds an idempotency key.
	_maxKey = 256
	// _configWait is how long a request waits for the first configuration of
	// an entry that has just started, and _configPoll how often it looks.
	_configWait = 2 * time.Second
	_configPoll = 10 * time.Millisecond
)

// Headers of the API.
const (
	HeaderAccount = "X-Account"
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "X-Timeout"
	HeaderCall    = "X-Call-Id"
)

// Entry carries out the requests. All errors have a kind.
type Entry interface {
	// Config returns the newest configuration, which must not be changed.
	Config() *berylconfig.Config
	// Call runs a call whose ID is empty. The ID of the answer is set if the
	// call may have been dispatched, even with an error.
	Call(ctx context.Context, call berylcall.Call) (berylanswer.Answer, error)
	// Find returns the answer to a call of an account.
	Find(ctx context.Context, account, id string, wait time.Duration) (berylanswer.Answer, error)
	// FindKey returns the answer to a keyed call of an account.
	FindKey(ctx context.Context, account, key string, wait time.Duration) (berylanswer.Answer, error)
	// Submit accepts a job whose ID is empty. The ID of the state is set if the
	// job may have been recorded, even with an error.
	Submit(ctx context.Context, job beryljob.Job) (beryljob.State, error)
	// Job returns the state of a job of an account.
	Job(ctx context.Context, account, id string) (beryljob.State, error)
	// Jobs returns the states of all jobs of an account.
	Jobs(ctx context.Context, account string) ([]beryljob.State, error)
	// Cancel ends a job of an account.
	Cancel(ctx context.Context, account, id string) (beryljob.State, error)
	// Publish appends a change of the configuration and returns its offset
	// once it has been read back as accepted.
	Publish(ctx context.Context, change Change) (int64, error)
	// SetDomain publishes the state of a known failure domain for an operator.
	SetDomain(ctx context.Context, by, name string, domain berylconfig.FailureDomain) (int64, error)
	// Drain stops new work for an agent.
	Drain(ctx context.Context, agent string) error
	// Agents returns the agents that the entry knows.
	Agents(ctx context.Context) ([]Agent, error)
}

// Change is the request that publishes a change of the configuration.
type Change struct {
	// Base is the offset of the configuration that the operator looked at. The
	// change is refused if one of its keys was changed after it.
	Base *int64 `json:"base"`
	// By names the operator.
	By string `json:"by"`
	// Set maps configuration keys to values; null removes a key.
	Set map[string]json.RawMessage `json:"set"`
}

// PublishReply answers an accepted change.
type PublishReply struct {
	Offset int64 `json:"offset"`
}

// OutRequest is the request that takes a failure domain out.
type OutRequest struct {
	// Grace is the time that running work has to move away.
	Grace berylduration.Duration `json:"grace,omitempty"`
}

// Submission is the request that submits a job.
type Submission struct {
	Class    string                 `json:"class"`
	Tasks    int                    `json:"tasks"`
	Shape    berylshape.Shape       `json:"shape"`
	Adjacent string                 `json:"adjacent,omitempty"`
	Declared berylduration.Duration `json:"declared,omitempty"`
	Payload  string                 `json:"payload,omitempty"`
}

// Agent is one agent as operators see it.
type Agent struct {
	Name        string           `json:"name"`
	Incarnation string           `json:"incarnation"`
	Addr        string           `json:"addr"`
	Domain      string           `json:"domain"`
	Rack        string           `json:"rack"`
	State       string           `json:"state"`
	Draining    bool             `json:"draining,omitempty"`
	Ejected     bool             `json:"ejected,omitempty"`
	Slots       int              `json:"slots,omitempty"`
	Busy        int              `json:"busy,omitempty"`
	Total       berylshape.Shape `json:"total,omitzero"`
	Gangs       int              `json:"gangs,omitempty"`
	// Offset is the newest configuration that the agent has.
	Offset int64 `json:"offset"`
}

// Error is the JSON form of every error.
type Error struct {
	// Kind is the name of a berylerror.Kind.
	Kind string `json:"kind"`
	Text string `json:"text"`
	// ID is the id of the call or job, if it may exist.
	ID string `json:"id,omitempty"`
	// Status and Body are the backend server's answer to a call that ran and
	// failed.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// API is the HTTP handler.
type API struct {
	entry     Entry
	operators map[string]string
	mux       *http.ServeMux
}

var _ http.Handler = (*API)(nil)

// New returns the handler. The operators map names to the SHA-256 of their
// tokens in hexadecimal; without any, operator functions are refused.
func New(entry Entry, operators map[string]string) *API {
	a := &API{entry: entry, operators: operators, mux: http.NewServeMux()}
	a.mux.HandleFunc("POST /v1/calls", a.forAccount(a.call))
	a.mux.HandleFunc("GET /v1/calls/{id}", a.forAccount(a.find))
	a.mux.HandleFunc("GET /v1/keys/{key}", a.forAccount(a.findKey))
	a.mux.HandleFunc("POST /v1/jobs", a.forAccount(a.submit))
	a.mux.HandleFunc("GET /v1/jobs", a.forAccount(a.jobs))
	a.mux.HandleFunc("GET /v1/jobs/{id}", a.forAccount(a.job))
	a.mux.HandleFunc("DELETE /v1/jobs/{id}", a.forAccount(a.cancel))
	a.mux.HandleFunc("GET /v1/config", a.forOperator(a.config))
	a.mux.HandleFunc("POST /v1/config", a.forOperator(a.publish))
	a.mux.HandleFunc("POST /v1/domains/{name}/out", a.forOperator(a.out))
	a.mux.HandleFunc("POST /v1/domains/{name}/back", a.forOperator(a.back))
	a.mux.HandleFunc("POST /v1/agents/{name}/drain", a.forOperator(a.drain))
	a.mux.HandleFunc("GET /v1/agents", a.forOperator(a.agents))
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", berylerror.Missing.Errorf("no function %s %s", r.Method, r.URL.Path))
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline of the connection's last answer would end this request if
	// it sends anything, as 100 Continue, before its own answer.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	a.mux.ServeHTTP(w, r)
}

// forAccount authenticates a client account. An unknown account and a wrong
// token get the same answer, so that names of accounts can't be found out.
func (a *API) forAccount(h func(w http.ResponseWriter, r *http.Request, account string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(HeaderAccount)
		token, ok := bearer(r)
		if name == "" || !ok {
			writeError(w, "", berylerror.Denied.Errorf("headers Authorization with a bearer token and %s are needed", HeaderAccount))
			return
		}
		cfg := a.awaitConfig(r.Context())
		if unset(cfg) {
			writeError(w, "", unconfigured(r))
			return
		}
		account, known := cfg.Accounts[name]
		if !known || !matches(token, account.Hash) {
			writeError(w, "", berylerror.Denied.Errorf("client account is not known or its token is wrong"))
			return
		}
		h(w, r, name)
	}
}

// awaitConfig returns the configuration. An entry that has just started has it
// within milliseconds, and callers need not be refused for that.
func (a *API) awaitConfig(ctx context.Context) *berylconfig.Config {
	cfg := a.entry.Config()
	if !unset(cfg) {
		return cfg
	}
	ctx, cancel := context.WithTimeout(ctx, _configWait)
	defer cancel()
	t := time.NewTicker(_configPoll)
	defer t.Stop()
	for unset(cfg) {
		select {
		case <-t.C:
			cfg = a.entry.Config()
		case <-ctx.Done():
			return cfg
		}
	}
	return cfg
}

// unset reports whether no configuration has been read yet.
func unset(cfg *berylconfig.Config) bool { return cfg.Offset == 0 && len(cfg.Accounts) == 0 }

// unconfigured returns the refusal of an entry that has no configuration, for
// example since it has just started. It can't tell whether the account exists,
// nor whether an earlier request with the same key ran.
func unconfigured(r *http.Request) error {
	kind := berylerror.Unavailable
	switch {
	case r.Method == http.MethodPost && r.Header.Get(HeaderKey) != "":
		kind = berylerror.Unknown
	case r.Method == http.MethodPost:
		kind = berylerror.NotRun
	}
	return kind.Errorf("entry has no configuration yet")
}

func (a *API) forOperator(h func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if token, ok := bearer(r); ok {
			for name, hash := range a.operators {
				if matches(token, hash) {
					h(w, r, name)
					return
				}
			}
		}
		writeError(w, "", berylerror.Denied.Errorf("this function needs an operator's token"))
	}
}

func bearer(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token, ok && token != ""
}

// matches reports whether the SHA-256 of the token is hash. An empty hash
// matches no token.
func matches(token, hash string) bool {
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(hash))) == 1
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(w, "", berylerror.Internal.Wrap(err, "encode answer"))
		return
	}
	write(w, status, "application/json", data)
}

// write sends a whole body with its length, so that a caller notices a
// truncated one.
func write(w http.ResponseWriter, status int, kind string, body []byte) {
	// A writer without deadlines belongs to a test or has limits of its own.
	_ = http.NewResponseController(w).SetWriteDeadline(berylclock.System()().Add(_writeTimeout))
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func writeError(w http.ResponseWriter, id string, err error) {
	k := berylerror.Of(err)
	data, _ := json.Marshal(Error{Kind: k.String(), Text: err.Error(), ID: id})
	write(w, k.Status(), "application/json", data)
}
