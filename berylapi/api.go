// Package berylapi serves the HTTP API for callers and operators.
//
// [API] authenticates, validates and decodes each request and passes it to an
// [Entry]; it is stateless. Callers send the name of their client account in
// the header X-Account and its token as a bearer token. Operators send a bearer
// token whose SHA-256 is in the entry's settings. Every error reply is an
// [Error] encoded as JSON.
//
//	POST   /v1/calls?class=             run a call; the body is the request
//	GET    /v1/calls/{id}?wait=         get the answer to a call
//	GET    /v1/keys/{key}?wait=         get the answer to a call by idempotency key
//	POST   /v1/jobs                     submit a job
//	GET    /v1/jobs                     list the jobs of the client account
//	GET    /v1/jobs/{id}                get the state of a job
//	DELETE /v1/jobs/{id}                cancel a job
//	GET    /v1/config                   get the configuration (operators)
//	POST   /v1/config                   publish a configuration change (operators)
//	POST   /v1/domains/{name}/out       take a failure domain out of service (operators)
//	POST   /v1/domains/{name}/back      put it back into service (operators)
//	POST   /v1/agents/{name}/drain      drain an agent (operators)
//	GET    /v1/agents                   list the known agents (operators)
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
	"berylglade/beryllistener"
	"berylglade/berylshape"
)

// Limits of requests.
const (
	// _defaultMaxBody is the largest body, in bytes, of a JSON request and of a
	// call whose class sets no limit.
	_defaultMaxBody = 1 << 20
	// _defaultTimeout is the timeout of a call whose class sets none.
	_defaultTimeout = 30 * time.Second
	// _maxWait is the longest time that a request waits for an answer.
	_maxWait = time.Minute
	// _writeTimeout closes the connection of a caller that does not read its
	// reply.
	_writeTimeout = 30 * time.Second
	// _maxKeyLength is the longest idempotency key, in bytes.
	_maxKeyLength = 256
	// _configWait is how long a request waits until a newly started entry has
	// read its configuration, and _configPoll is the polling interval.
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

// Entry executes the requests. Its errors have a [berylerror.Kind].
type Entry interface {
	// Config returns the newest configuration, which must not be modified.
	Config() *berylconfig.Config
	// Call assigns an ID to a call, which has none yet, and runs it. The
	// answer has the ID if the call may have been dispatched, even if there is
	// an error.
	Call(ctx context.Context, call berylcall.Call) (berylanswer.Answer, error)
	// Find returns the answer to a call of an account. It waits up to the given
	// time if the call is still running.
	Find(ctx context.Context, account, id string, wait time.Duration) (berylanswer.Answer, error)
	// FindKey is like Find for a call with an idempotency key.
	FindKey(ctx context.Context, account, key string, wait time.Duration) (berylanswer.Answer, error)
	// Submit assigns an ID to a job, which has none yet, and records it. The
	// state has the ID if the job may have been recorded, even if there is an
	// error.
	Submit(ctx context.Context, job beryljob.Job) (beryljob.State, error)
	// Job returns the state of a job of an account.
	Job(ctx context.Context, account, id string) (beryljob.State, error)
	// Jobs returns the states of all jobs of an account.
	Jobs(ctx context.Context, account string) ([]beryljob.State, error)
	// Cancel cancels a job of an account.
	Cancel(ctx context.Context, account, id string) (beryljob.State, error)
	// Publish appends a configuration change to the log. It returns the offset
	// of the change after reading it back and finding it accepted.
	Publish(ctx context.Context, change Change) (int64, error)
	// SetDomain publishes the state of an existing failure domain; by names the
	// operator.
	SetDomain(ctx context.Context, by, name string, domain berylconfig.FailureDomain) (int64, error)
	// Drain makes an agent receive no new work.
	Drain(ctx context.Context, agent string) error
	// Agents returns the agents that the entry knows.
	Agents(ctx context.Context) ([]Agent, error)
}

// Change is the request to publish a configuration change.
type Change struct {
	// Base is the offset of the configuration that the change is based on. The
	// change is rejected if one of its keys was changed after that offset.
	Base *int64 `json:"base"`
	// By names the operator.
	By string `json:"by"`
	// Set maps configuration keys to values; null removes a key.
	Set map[string]json.RawMessage `json:"set"`
}

// PublishReply is the reply to an accepted change.
type PublishReply struct {
	Offset int64 `json:"offset"`
}

// OutRequest is the request to take a failure domain out of service.
type OutRequest struct {
	// Grace is the time that running work has to end or move elsewhere.
	Grace berylduration.Duration `json:"grace,omitempty"`
}

// Submission is the request to submit a job.
type Submission struct {
	Class    string                 `json:"class"`
	Tasks    int                    `json:"tasks"`
	Shape    berylshape.Shape       `json:"shape"`
	Adjacent string                 `json:"adjacent,omitempty"`
	Declared berylduration.Duration `json:"declared,omitempty"`
	Payload  string                 `json:"payload,omitempty"`
}

// Agent is the state of an agent in the list for operators.
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
	// Offset is that of the newest configuration that the agent has.
	Offset int64 `json:"offset"`
}

// Error is the body of an error reply.
type Error struct {
	// Kind is the name of a berylerror.Kind.
	Kind string `json:"kind"`
	Text string `json:"text"`
	// ID is the ID of the call or job if the request may have created it.
	ID string `json:"id,omitempty"`
	// Status and Body are the backend server's reply to a call that ran and
	// failed.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// API is the HTTP handler of the routes in the package comment.
type API struct {
	entry     Entry
	operators map[string]string
	mux       *http.ServeMux
}

var _ http.Handler = (*API)(nil)

// New returns the handler. The keys of operators are names, its values the
// SHA-256 of the operators' tokens in hexadecimal. If it is empty, all operator
// requests are denied.
func New(entry Entry, operators map[string]string) *API {
	a := &API{entry: entry, operators: operators, mux: http.NewServeMux()}
	a.mux.HandleFunc("POST /v1/calls", a.authenticateAccount(a.call))
	a.mux.HandleFunc("GET /v1/calls/{id}", a.authenticateAccount(a.find))
	a.mux.HandleFunc("GET /v1/keys/{key}", a.authenticateAccount(a.findKey))
	a.mux.HandleFunc("POST /v1/jobs", a.authenticateAccount(a.submit))
	a.mux.HandleFunc("GET /v1/jobs", a.authenticateAccount(a.jobs))
	a.mux.HandleFunc("GET /v1/jobs/{id}", a.authenticateAccount(a.job))
	a.mux.HandleFunc("DELETE /v1/jobs/{id}", a.authenticateAccount(a.cancel))
	a.mux.HandleFunc("GET /v1/config", a.authenticateOperator(a.config))
	a.mux.HandleFunc("POST /v1/config", a.authenticateOperator(a.publish))
	a.mux.HandleFunc("POST /v1/domains/{name}/out", a.authenticateOperator(a.takeDomainOut))
	a.mux.HandleFunc("POST /v1/domains/{name}/back", a.authenticateOperator(a.bringDomainBack))
	a.mux.HandleFunc("POST /v1/agents/{name}/drain", a.authenticateOperator(a.drain))
	a.mux.HandleFunc("GET /v1/agents", a.authenticateOperator(a.agents))
	a.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", berylerror.Missing.Errorf("no route for %s %s", r.Method, r.URL.Path))
	})
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Clears the write deadline of the previous reply on this connection.
	// Otherwise it would abort this request if something is written before
	// the reply, such as 100 Continue.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	a.mux.ServeHTTP(w, r)
}

// authenticateAccount returns a handler that authenticates a client account
// before it calls h. An unknown account and a wrong token get the same reply, so
// that account names can't be enumerated.
func (a *API) authenticateAccount(h func(w http.ResponseWriter, r *http.Request, account string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get(HeaderAccount)
		token, ok := bearerToken(r)
		if name == "" || !ok {
			writeError(w, "", berylerror.Denied.Errorf("request needs headers Authorization with a bearer token and %s", HeaderAccount))
			return
		}
		cfg := a.awaitConfig(r.Context())
		if noConfig(cfg) {
			writeError(w, "", noConfigError(r))
			return
		}
		account, known := cfg.Accounts[name]
		if !known || !tokenMatches(token, account.Hash) {
			writeError(w, "", berylerror.Denied.Errorf("unknown client account or wrong token"))
			return
		}
		beryllistener.SetAccount(r.Context(), name)
		h(w, r, name)
	}
}

// awaitConfig returns the configuration and waits for it up to _configWait. A
// newly started entry usually has it within milliseconds, so requests need not
// be rejected in that time.
func (a *API) awaitConfig(ctx context.Context) *berylconfig.Config {
	cfg := a.entry.Config()
	if !noConfig(cfg) {
		return cfg
	}
	ctx, cancel := context.WithTimeout(ctx, _configWait)
	defer cancel()
	t := time.NewTicker(_configPoll)
	defer t.Stop()
	for noConfig(cfg) {
		select {
		case <-t.C:
			cfg = a.entry.Config()
		case <-ctx.Done():
			return cfg
		}
	}
	return cfg
}

// noConfig reports whether the entry has not read a configuration yet.
func noConfig(cfg *berylconfig.Config) bool { return cfg.Offset == 0 && len(cfg.Accounts) == 0 }

// noConfigError returns the error of an entry that has no configuration, for
// example because it has just started. Such an entry can't tell whether the
// account exists, nor whether an earlier request with the same idempotency key
// ran.
func noConfigError(r *http.Request) error {
	kind := berylerror.Unavailable
	switch {
	case r.Method == http.MethodPost && r.Header.Get(HeaderKey) != "":
		kind = berylerror.Unknown
	case r.Method == http.MethodPost:
		kind = berylerror.NotRun
	}
	return kind.Errorf("entry has no configuration yet")
}

// authenticateOperator returns a handler that authenticates an operator before
// it calls h.
func (a *API) authenticateOperator(h func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if token, ok := bearerToken(r); ok {
			for name, hash := range a.operators {
				if tokenMatches(token, hash) {
					h(w, r, name)
					return
				}
			}
		}
		writeError(w, "", berylerror.Denied.Errorf("request needs an operator's bearer token"))
	}
}

func bearerToken(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token, ok && token != ""
}

// tokenMatches reports whether the SHA-256 of the token is hash. An empty hash
// matches no token.
func tokenMatches(token, hash string) bool {
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(hash))) == 1
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(w, "", berylerror.Internal.Wrap(err, "encode answer"))
		return
	}
	writeBody(w, status, "application/json", data)
}

// writeBody sends a body with its Content-Length, so that the caller can detect
// a truncated reply.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	// The error is ignored: only writers in tests and writers with limits of
	// their own don't support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(berylclock.System()().Add(_writeTimeout))
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func writeError(w http.ResponseWriter, id string, err error) {
	k := berylerror.Of(err)
	data, _ := json.Marshal(Error{Kind: k.String(), Text: err.Error(), ID: id})
	writeBody(w, k.Status(), "application/json", data)
}
