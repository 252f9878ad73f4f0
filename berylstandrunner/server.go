// Package berylstandrunner is a stand-in for a backend server.
//
// [Server] is an HTTP handler with a limited number of slots; requests wait for a
// free one. Its [Ledger] counts how often each request ID and each body ran, so
// that a test can verify that no request ran twice, not even under two IDs.
// [Faults] can be injected at run time.
package berylstandrunner

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylglade/berylduration"
	"berylglade/berylrunner"
)

// _maxBody is the largest body of a request in bytes.
const _maxBody = 16 << 20

// _maxRequests is the largest number of requests that wait or run, each of which
// has its body in memory.
const _maxRequests = 4096

// Settings describe a backend server.
type Settings struct {
	// Slots is the number of requests that run concurrently, at least one.
	Slots int `json:"slots"`
	// ServiceTime is how long a request runs. A body whose first word is of the
	// form "run=200ms" overrides it.
	ServiceTime berylduration.Duration `json:"service"`
}

// Faults are the injected faults.
type Faults struct {
	// Delay is added to the time that a request runs.
	Delay berylduration.Duration `json:"delay,omitempty"`
	// FailStatus is the status of every reply; zero means 200.
	FailStatus int `json:"fail,omitempty"`
	// Truncate closes the connection in the middle of the reply.
	Truncate bool `json:"truncate,omitempty"`
	// Close closes the connection after the request ran, without a reply.
	Close bool `json:"close,omitempty"`
	// Swap swaps the replies, including their headers, of two concurrent
	// requests. A request that finds no other one within 100 ms after it ran
	// gets its own reply.
	Swap bool `json:"swap,omitempty"`
	// Duplicate sends the reply twice on the same connection.
	Duplicate bool `json:"duplicate,omitempty"`
	// Every is n if the faults apply to each n-th request; zero means to every
	// request.
	Every int `json:"every,omitempty"`
	// Count is the number of requests to which the faults apply; after these
	// they are cleared. Zero means no limit.
	Count int `json:"count,omitempty"`
}

// Ledger counts the requests that have run.
type Ledger struct {
	// Counts is how often each request ran, by request ID.
	Counts map[string]int `json:"counts"`
	// Bodies is how often each body ran, by the [Digest] of the body.
	Bodies map[string]int `json:"bodies"`
	// Running is the number of requests that wait or run at present.
	Running int `json:"running"`
	// Peak is the largest value of Running so far.
	Peak int `json:"peak"`
}

// Server is the stand-in for a backend server.
type Server struct {
	mux      http.ServeMux
	settings Settings
	slots    chan struct{}

	mu     sync.Mutex
	faults Faults
	ledger Ledger
	// requests is the number of requests received since the faults were set.
	requests int
	// pending is the request that waits to swap its reply, or nil.
	pending *pendingSwap
}

// response is a reply: its body and the request ID in its header.
type response struct {
	id   string
	body []byte
}

// pendingSwap is a request that waits to swap its reply with another one. The
// other request sends its own reply on partner.
type pendingSwap struct {
	own     response
	partner chan response
}

const (
	// _swapTimeout bounds the wait for a request to swap replies with.
	_swapTimeout = 100 * time.Millisecond
	// _duplicatePause is the pause after each reply that is sent twice.
	_duplicatePause = 10 * time.Millisecond
)

var _ http.Handler = (*Server)(nil)

// New returns a server without faults.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings,
		slots:    make(chan struct{}, max(settings.Slots, 1)),
		ledger:   Ledger{Counts: map[string]int{}, Bodies: map[string]int{}},
	}
	s.mux.HandleFunc("POST /work", s.work)
	s.mux.HandleFunc("GET /ledger", s.getLedger)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	return s
}

// Digest returns the digest of a body in the ledger.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Answer returns the body of the reply to a request.
func Answer(id string, body []byte) []byte {
	return []byte(id + " " + Digest(body) + " " + strconv.Itoa(len(body)) + "\n")
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	l.Counts = maps.Clone(l.Counts)
	l.Bodies = maps.Clone(l.Bodies)
	return l
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.requests = 0
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, _maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(berylrunner.HeaderID)
	if id == "" {
		http.Error(w, "header "+berylrunner.HeaderID+" is not set", http.StatusBadRequest)
		return
	}
	faults, ok := s.admit()
	if !ok {
		http.Error(w, "too many requests wait or run", http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()

	s.recordRun(id, body)
	// An accepted request runs to its end even if the client disconnects, as on
	// a real backend server.
	time.Sleep(s.serviceTime(body) + faults.Delay.Std())
	a := response{id: id, body: Answer(id, body)}
	if faults.Swap {
		a = s.swapResponse(a)
	}
	writeResponse(w, a, faults)
}

// swapResponse returns the reply of another request and gives that request this
// one's. It returns own if there is no other request within _swapTimeout.
func (s *Server) swapResponse(own response) response {
	s.mu.Lock()
	if p := s.pending; p != nil {
		s.pending = nil
		s.mu.Unlock()
		p.partner <- own
		return p.own
	}
	p := &pendingSwap{own: own, partner: make(chan response, 1)}
	s.pending = p
	s.mu.Unlock()
	select {
	case a := <-p.partner:
		return a
	case <-time.After(_swapTimeout):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == p {
		s.pending = nil
		return own
	}
	return <-p.partner
}

func writeResponse(w http.ResponseWriter, a response, faults Faults) {
	if faults.Close {
		writeRawAndClose(w)
		return
	}
	id, answer := a.id, a.body
	if faults.Duplicate {
		text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", berylrunner.HeaderID, id, len(answer), answer)
		writeRawAndClose(w, text, text)
		return
	}
	w.Header().Set(berylrunner.HeaderID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.FailStatus != 0 {
		w.WriteHeader(faults.FailStatus)
	}
	if faults.Truncate {
		// net/http closes the connection if fewer bytes are written than
		// Content-Length says.
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}

// writeRawAndClose writes raw replies and closes the connection. It pauses after
// each reply, so that the client can send its next request on the connection and
// may take the duplicate for the reply to that request.
func writeRawAndClose(w http.ResponseWriter, raw ...[]byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for _, text := range raw {
		_, _ = conn.Write(text)
		time.Sleep(_duplicatePause)
	}
	_ = conn.Close()
}

// admit counts a received request and returns the faults that apply to it. It
// returns false if too many requests wait or run.
func (s *Server) admit() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Running >= _maxRequests {
		return Faults{}, false
	}
	s.ledger.Running++
	s.ledger.Peak = max(s.ledger.Peak, s.ledger.Running)
	f := s.faults
	s.requests++
	if f.Every > 1 && s.requests%f.Every != 0 {
		return Faults{}, true
	}
	if f.Count == 1 {
		s.faults = Faults{}
	}
	if f.Count > 1 {
		s.faults.Count--
	}
	return f, true
}

// release counts the end of an admitted request.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Running--
}

// recordRun counts a run of a request in the ledger.
func (s *Server) recordRun(id string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Counts[id]++
	s.ledger.Bodies[Digest(body)]++
}

// serviceTime returns how long a request with the given body runs.
func (s *Server) serviceTime(body []byte) time.Duration {
	word, _, _ := strings.Cut(string(body[:min(len(body), 32)]), " ")
	if text, ok := strings.CutPrefix(word, "run="); ok {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return s.settings.ServiceTime.Std()
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Ledger())
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxBody))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
